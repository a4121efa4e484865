#include "papayafall/daemon/kept/kept_connection.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/kept/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>

#include <utility>

namespace papayafall {

kept_connection::kept_connection(endpoint address, const http_limits& limits)
    : address_(std::move(address)), limits_(limits)
{
}

kept_connection::~kept_connection()
{
    handler_ = nullptr;
    drop_socket();
}

void kept_connection::send(const http_request_message& request, time_point give_up_at,
                           handler handle)
{
    ensure(idle(), "a connection carries one call at a time");
    handler_ = std::move(handle);
    give_up_at_ = give_up_at;
    unsent_ = encode_request(request, address_.address + ":" + std::to_string(address_.port));
    if (connected_) {
        on_connected();
        return;
    }
    connect_socket();
}

void kept_connection::on_tick(time_point now)
{
    if (handler_ && now >= give_up_at_) {
        drop_socket();
        finish({.error = exchange_error::timed_out});
    }
}

void kept_connection::close()
{
    drop_socket();
    if (handler_) {
        finish({.error = exchange_error::broken});
    }
}

void kept_connection::connect_socket()
{
    drop_socket();
    reader_ = std::make_unique<http_reader<http_reply_message>>(limits_);
    socket_ = std::make_unique<QTcpSocket>();
    socket_->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(socket_.get(), &QTcpSocket::connected, [this] {
        tune_socket(*socket_);
        connected_ = true;
        on_connected();
    });
    // Queued, since a failure may be told from within the call that connects.
    QObject::connect(
        socket_.get(), &QTcpSocket::errorOccurred, socket_.get(),
        [this](QAbstractSocket::SocketError reason) { on_failed(reason); }, Qt::QueuedConnection);
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, [this] { on_readable(); });
    socket_->connectToHost(QHostAddress(QString::fromStdString(address_.address)), address_.port);
}

void kept_connection::on_connected()
{
    if (unsent_.empty()) {
        return;
    }
    socket_->write(unsent_.data(), static_cast<qint64>(unsent_.size()));
    socket_->flush();
    unsent_.clear();
}

void kept_connection::on_failed(QAbstractSocket::SocketError reason)
{
    const bool refused = !connected_ && reason == QAbstractSocket::ConnectionRefusedError;
    drop_socket();
    if (handler_) {
        finish({.error = refused ? exchange_error::refused : exchange_error::broken});
    }
}

void kept_connection::on_readable()
{
    const QByteArray received = socket_->readAll();
    try {
        reader_->feed({received.data(), static_cast<std::size_t>(received.size())});
        auto reply = reader_->next();
        if (!reply) {
            return;
        }
        if (!reply->keep_alive || !handler_) {
            drop_socket();
        }
        if (handler_) {
            finish({.reply = std::move(*reply)});
        }
    } catch (const message_error&) {
        close();
    }
}

void kept_connection::finish(const exchange_result& result)
{
    unsent_.clear();
    give_up_at_ = no_deadline;
    const handler handle = std::exchange(handler_, nullptr);
    handle(result);
}

void kept_connection::drop_socket()
{
    connected_ = false;
    if (socket_ == nullptr) {
        return;
    }
    // The socket may be the sender of the signal that is being handled.
    QTcpSocket* const socket = socket_.release();
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
}

} // namespace papayafall
