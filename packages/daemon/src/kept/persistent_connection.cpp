#include "papayafall/daemon/kept/persistent_connection.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/socket_options.hpp"

#include <QHostAddress>
#include <QNetworkProxy>

#include <utility>

namespace papayafall {

persistent_connection::persistent_connection(endpoint address, const http_limits& limits)
    : address_(std::move(address)), limits_(limits)
{
}

persistent_connection::~persistent_connection()
{
    handler_ = nullptr;
    drop_socket();
}

void persistent_connection::send(const http_request_message& request, time_point deadline,
                                 result_handler handle)
{
    ensure(idle(), "a connection carries one call at a time");
    handler_ = std::move(handle);
    deadline_ = deadline;
    unsent_request_ =
        encode_request(request, address_.address + ":" + std::to_string(address_.port));
    if (connected_) {
        on_connected();
        return;
    }
    connect_socket();
}

void persistent_connection::on_tick(time_point now)
{
    if (handler_ && now >= deadline_) {
        drop_socket();
        finish({.error = exchange_error::timed_out});
    }
}

void persistent_connection::close()
{
    drop_socket();
    if (handler_) {
        finish({.error = exchange_error::broken});
    }
}

void persistent_connection::connect_socket()
{
    drop_socket();
    reader_ = std::make_unique<http_reader<http_reply_message>>(limits_);
    socket_ = std::make_unique<QTcpSocket>();
    socket_->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(socket_.get(), &QTcpSocket::connected, [this] {
        set_socket_options(*socket_);
        connected_ = true;
        on_connected();
    });
    // Queued, because connectToHost() may emit the error before it returns.
    QObject::connect(
        socket_.get(), &QTcpSocket::errorOccurred, socket_.get(),
        [this](QAbstractSocket::SocketError reason) { on_error(reason); }, Qt::QueuedConnection);
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, [this] { on_ready_read(); });
    socket_->connectToHost(QHostAddress(QString::fromStdString(address_.address)), address_.port);
}

void persistent_connection::on_connected()
{
    if (unsent_request_.empty()) {
        return;
    }
    if (steady_now() >= deadline_) {
        return; // the next tick ends the call; a request that is sent now would be carried out late
    }
    socket_->write(unsent_request_.data(), static_cast<qint64>(unsent_request_.size()));
    socket_->flush();
    unsent_request_.clear();
}

void persistent_connection::on_error(QAbstractSocket::SocketError reason)
{
    const bool refused = !connected_ && reason == QAbstractSocket::ConnectionRefusedError;
    drop_socket();
    if (handler_) {
        finish({.error = refused ? exchange_error::refused : exchange_error::broken});
    }
}

void persistent_connection::on_ready_read()
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

void persistent_connection::finish(const exchange_result& result)
{
    unsent_request_.clear();
    deadline_ = no_deadline;
    const result_handler handle = std::exchange(handler_, nullptr);
    handle(result);
}

void persistent_connection::drop_socket()
{
    connected_ = false;
    if (socket_ == nullptr) {
        return;
    }
    // Deleted later: the socket may be the sender of the signal that is being handled.
    QTcpSocket* const socket = socket_.release();
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
}

} // namespace papayafall
