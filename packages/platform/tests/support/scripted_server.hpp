#pragma once

#include <QByteArray>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <vector>

namespace papayafall {

/// Request received by a `scripted_server`.
struct scripted_request {
    QTcpSocket* socket;
    int connection; ///< 1 for the first connection
    QByteArray head;
    QByteArray body;
};

/// HTTP server on the test's thread; `on_request` handles each request.
class scripted_server : public QTcpServer {
  public:
    scripted_server()
    {
        listen(QHostAddress::LocalHost);
        connect(this, &QTcpServer::newConnection, this, [this] { on_new_connection(); });
    }

    std::function<void(const scripted_request&)> on_request = [](const scripted_request&) {};
    std::vector<scripted_request> requests;
    int connections = 0;
    int closed_connections = 0;

    static void answer(const scripted_request& it, const QByteArray& body = "ok")
    {
        it.socket->write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) +
                         "\r\n\r\n" + body);
    }

  private:
    void on_new_connection()
    {
        QTcpSocket* socket = nextPendingConnection();
        const int number = ++connections;
        connect(socket, &QTcpSocket::disconnected, this, [this] { ++closed_connections; });
        connect(socket, &QTcpSocket::readyRead, this, [=, this] { read(socket, number); });
    }

    void read(QTcpSocket* socket, int connection)
    {
        const QByteArray pending = socket->peek(socket->bytesAvailable());
        const auto head_size = pending.indexOf("\r\n\r\n") + 4;
        if (head_size < 4) {
            return;
        }
        const auto body_size = content_length(pending.left(head_size));
        if (pending.size() < head_size + body_size) {
            return;
        }
        const scripted_request received{.socket = socket,
                                        .connection = connection,
                                        .head = socket->read(head_size),
                                        .body = socket->read(body_size)};
        requests.push_back(received);
        on_request(received);
    }

    static qsizetype content_length(const QByteArray& head)
    {
        constexpr const char* name = "content-length: ";
        const QByteArray text = head.toLower();
        const auto begin = text.indexOf(name);
        return begin < 0 ? 0 : text.mid(begin + 16, text.indexOf('\r', begin) - begin - 16).toInt();
    }
};

} // namespace papayafall
