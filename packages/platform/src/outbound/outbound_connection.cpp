#include "outbound_connection.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>

#include <utility>
#include <vector>

namespace papayafall::detail {

namespace {

/// Responses below this status are interim; the final response follows.
constexpr std::uint16_t first_final_status = 200;

} // namespace

outbound_connection::outbound_connection(const endpoint& server, const http_limits& limits)
    : server_(server), reader_(limits), socket_(std::make_unique<QTcpSocket>())
{
    socket_->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(socket_.get(), &QTcpSocket::connected, [this] {
        set_socket_options(*socket_);
        write_request();
    });
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, [this] { receive(); });
    // Queued, because connectToHost() may emit the error before it returns.
    QObject::connect(
        socket_.get(), &QTcpSocket::errorOccurred, socket_.get(), [this] { on_error(); },
        Qt::QueuedConnection);
    socket_->connectToHost(QHostAddress(QString::fromStdString(server.address)), server.port);
}

outbound_connection::~outbound_connection()
{
    close();
}

void outbound_connection::send(std::string request, end_handler handle)
{
    ensure(!handler_, "a connection carries one request at a time");
    handler_ = std::move(handle);
    unsent_request_ = std::move(request);
    sent_ = false;
    if (socket_->state() == QAbstractSocket::ConnectedState) {
        write_request();
    }
}

void outbound_connection::close()
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

void outbound_connection::write_request()
{
    if (unsent_request_.empty()) {
        return;
    }
    sent_ = true;
    socket_->write(unsent_request_.data(), static_cast<qint64>(unsent_request_.size()));
    socket_->flush();
    unsent_request_.clear();
}

void outbound_connection::receive()
{
    const outbound_connection_ptr keep_alive(this);
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

void outbound_connection::on_error()
{
    const outbound_connection_ptr keep_alive(this);
    // The bytes that arrived before the end decide first, whichever of the two was signalled first.
    if (socket_->bytesAvailable() > 0) {
        receive();
    }
    finish(exchange_end::lost, {});
}

void outbound_connection::finish(exchange_end end, const http_reply_message& reply)
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

idle_connections::~idle_connections()
{
    close_if([](const outbound_connection&) { return true; });
}

outbound_connection_ptr idle_connections::take(const endpoint& server, time_point now)
{
    close_expired(now);
    for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
        if (it->server() == server) {
            return unlink(*it);
        }
    }
    return nullptr;
}

void idle_connections::put(const outbound_connection_ptr& connection, time_point now)
{
    connection->last_response_at = now;
    intrusive_ptr_add_ref(connection.get());
    connections_.push_back(*connection);
}

void idle_connections::discard(const endpoint& server, time_point since)
{
    close_if([&](const outbound_connection& it) {
        return it.server() == server && it.last_response_at < since;
    });
}

void idle_connections::close_expired(time_point now)
{
    close_if([&](const outbound_connection& it) {
        return it.is_closed() || it.last_response_at + max_idle_time_ <= now;
    });
}

time_point idle_connections::next_expiry() const noexcept
{
    return connections_.empty() ? no_deadline
                                : connections_.front().last_response_at + max_idle_time_;
}

outbound_connection_ptr idle_connections::unlink(outbound_connection& it)
{
    connections_.erase(connections_.iterator_to(it));
    return {&it, false};
}

void idle_connections::close_if(const std::function<bool(const outbound_connection&)>& condition)
{
    std::vector<outbound_connection_ptr> closed;
    for (outbound_connection& it : connections_) {
        if (condition(it)) {
            closed.emplace_back(&it);
        }
    }
    for (const outbound_connection_ptr& it : closed) {
        unlink(*it)->close();
    }
}

} // namespace papayafall::detail
