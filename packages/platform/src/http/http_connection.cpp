#include "papayafall/platform/http/http_connection.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>

#include <utility>

namespace papayafall {

namespace {

/// Responses below this status are interim; the final response follows.
constexpr std::uint16_t first_final_status = 200;

} // namespace

http_connection::http_connection(const endpoint& server, const http_limits& limits)
    : server_(server), reader_(limits), socket_(std::make_unique<QTcpSocket>())
{
    socket_->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(socket_.get(), &QTcpSocket::connected, &context_, [this] {
        set_socket_options(*socket_);
        write_request();
    });
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, &context_, [this] { receive(); });
    // Queued, because connectToHost() may emit the error before it returns.
    QObject::connect(
        socket_.get(), &QTcpSocket::errorOccurred, &context_,
        [this](QAbstractSocket::SocketError reason) { on_error(reason); }, Qt::QueuedConnection);
    socket_->connectToHost(QHostAddress(QString::fromStdString(server.address)), server.port);
}

http_connection::~http_connection()
{
    close();
}

void http_connection::send(std::string request, time_point send_by, end_handler handle)
{
    ensure(!handler_, "a connection carries one request at a time");
    handler_ = std::move(handle);
    unsent_request_ = std::move(request);
    send_by_ = send_by;
    sent_ = false;
    if (is_open()) {
        write_request();
    }
}

bool http_connection::is_open() const
{
    return socket_ != nullptr && socket_->state() == QAbstractSocket::ConnectedState;
}

void http_connection::close()
{
    handler_ = nullptr;
    if (socket_ == nullptr) {
        return;
    }
    // Deleted later: the socket may be the sender of the signal that is being handled.
    QTcpSocket* const socket = socket_.release();
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
}

void http_connection::write_request()
{
    if (unsent_request_.empty() || steady_now() >= send_by_) {
        return; // sent now, it would be carried out after its sender has given it up
    }
    sent_ = true;
    socket_->write(unsent_request_.data(), static_cast<qint64>(unsent_request_.size()));
    socket_->flush();
    unsent_request_.clear();
}

void http_connection::receive()
{
    const http_connection_ptr keep_alive(this);
    const QByteArray received = socket_->readAll();
    try {
        reader_.feed({received.data(), static_cast<std::size_t>(received.size())});
        auto reply = reader_.next();
        while (reply && reply->status < first_final_status) {
            reply = reader_.next();
        }
        if (reply) {
            finish(exchange_end::response, *reply);
        }
    } catch (const message_error& ec) {
        const bool too_large = ec.id() == error_id::message_too_large;
        finish(too_large ? exchange_end::too_large : exchange_end::malformed, {});
    }
}

void http_connection::on_error(QAbstractSocket::SocketError reason)
{
    if (is_closed()) {
        return;
    }
    const http_connection_ptr keep_alive(this);
    // The bytes that arrived before the end decide first, whichever of the two was signalled first.
    if (socket_->bytesAvailable() > 0) {
        receive();
    }
    const bool refused = !sent_ && reason == QAbstractSocket::ConnectionRefusedError;
    finish(refused ? exchange_end::refused : exchange_end::lost, {});
}

void http_connection::finish(exchange_end end, const http_reply_message& reply)
{
    const end_handler handle = std::exchange(handler_, nullptr);
    // After bytes that no request asked for, the next response could be taken for another one's.
    const bool unsolicited = !handle || reader_.has_partial_message();
    if (end != exchange_end::response || !reply.keep_alive || unsolicited) {
        close();
    }
    if (handle) {
        handle(end, reply);
    }
}

} // namespace papayafall
