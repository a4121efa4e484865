#include "papayafall/daemon/http/caller_socket.hpp"

#include <QSslSocket>

#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace papayafall {

namespace {

/// Read buffer of the transport socket, in bytes; bounds the memory of a busy connection.
constexpr qint64 transport_buffer_size = qint64{64} * 1024;
/// Capacity in bytes that a receive buffer keeps between requests.
constexpr std::size_t retained_buffer_capacity = std::size_t{16} * 1024;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller_socket::caller_socket(QTcpSocket* transport, const connection_limits& limits,
                             const clock_source& clock, caller_socket_observer& observer,
                             QObject* parent)
    : QTcpSocket(parent), transport_(transport), clock_(clock), observer_(observer),
      limits_(limits), framer_(limits.max_header_size, limits.max_body_size),
      deadline_(now() + limits.transfer_timeout)
{
    transport_->setParent(this);
    transport_->setReadBufferSize(transport_buffer_size);
    transport_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(transport_, &QTcpSocket::readyRead, this, [this] { on_transport_readable(); });
    connect(transport_, &QTcpSocket::bytesWritten, this, [this] { on_transport_writable(); });
    connect(transport_, &QTcpSocket::disconnected, this, [this] { on_transport_closed(); });
    if (auto* tls = qobject_cast<QSslSocket*>(transport_)) {
        connect(tls, &QSslSocket::encryptedBytesWritten, this, [this] { on_transport_writable(); });
    }
    setPeerAddress(transport_->peerAddress());
    setPeerPort(transport_->peerPort());
    setSocketState(ConnectedState);
    setOpenMode(QIODevice::ReadWrite);
}

caller_socket::~caller_socket()
{
    transport_->disconnect(this);
    setSocketState(UnconnectedState);
}

void caller_socket::accept_request(bool head_only) noexcept
{
    request_accepted_ = true;
    head_only_ = head_only;
}

void caller_socket::respond(const http_response& response)
{
    if (phase_ != phase::in_progress) {
        return;
    }
    const std::string message = encode_response(
        response, response_framing{.keep_alive = keep_alive_, .without_body = head_only_});
    phase_ = phase::sending;
    deadline_ = now() + limits_.transfer_timeout;
    transport_->write(message.data(), static_cast<qint64>(message.size()));
    transport_->flush();
    if (phase_ == phase::sending && unsent_bytes() == 0) {
        finish_response();
    }
}

void caller_socket::close_when_idle()
{
    keep_alive_ = false;
    process_input();
    if (phase_ == phase::idle) {
        transport_->disconnectFromHost();
    }
}

void caller_socket::enforce_deadline(time_point instant)
{
    if (instant < deadline_) {
        return;
    }
    if (phase_ == phase::receiving) {
        reject_request(frame_rejected{.status = 408,
                                      .detail = "request not fully received before the timeout"});
        return;
    }
    abort_connection();
}

void caller_socket::abort_connection()
{
    transport_->abort();
    on_transport_closed();
}

qint64 caller_socket::bytesAvailable() const
{
    return QTcpSocket::bytesAvailable() + static_cast<qint64>(readable_size_ - read_size_);
}

bool caller_socket::canReadLine() const
{
    const auto unread = std::string_view(buffer_).substr(read_size_, readable_size_ - read_size_);
    return QTcpSocket::canReadLine() || unread.find('\n') != std::string_view::npos;
}

void caller_socket::disconnectFromHost()
{
    transport_->disconnectFromHost();
}

qint64 caller_socket::readData(char* data, qint64 max_size)
{
    const std::size_t n = std::min(static_cast<std::size_t>(max_size), readable_size_ - read_size_);
    std::memcpy(data, buffer_.data() + read_size_, n);
    read_size_ += n;
    return static_cast<qint64>(n);
}

qint64 caller_socket::writeData(const char* data, qint64 size)
{
    return transport_->write(data, size);
}

void caller_socket::on_transport_readable()
{
    if (phase_ == phase::lingering) {
        transport_->readAll();
        return;
    }
    process_input();
}

void caller_socket::on_transport_writable()
{
    if (phase_ == phase::sending && unsent_bytes() == 0) {
        finish_response();
    }
}

void caller_socket::on_transport_closed()
{
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    readable_size_ = 0;
    read_size_ = 0;
    observer_.on_closed(*this);
    setSocketState(UnconnectedState);
    Q_EMIT disconnected();
    deleteLater();
}

void caller_socket::process_input()
{
    if (processing_input_) {
        return;
    }
    processing_input_ = true;
    while (process_next_request()) {
    }
    processing_input_ = false;
}

bool caller_socket::process_next_request()
{
    if (phase_ != phase::idle && phase_ != phase::receiving) {
        return false;
    }
    fill_buffer();
    if (buffer_.empty()) {
        return false;
    }
    const framing_result result = framer_.inspect(buffer_);
    if (const auto* part = std::get_if<frame_incomplete>(&result)) {
        await_remainder(*part);
        return transport_->bytesAvailable() > 0;
    }
    if (const auto* reason = std::get_if<frame_rejected>(&result)) {
        reject_request(*reason);
        return false;
    }
    deliver_request(std::get<frame_complete>(result));
    return true;
}

void caller_socket::deliver_request(const frame_complete& frame)
{
    phase_ = phase::in_progress;
    deadline_ = no_deadline;
    keep_alive_ = keep_alive_ && frame.keep_alive;
    request_accepted_ = false;
    readable_size_ = frame.size;
    read_size_ = 0;
    Q_EMIT readyRead();
    buffer_.erase(0, frame.size);
    if (buffer_.empty() && buffer_.capacity() > retained_buffer_capacity) {
        buffer_.shrink_to_fit();
    }
    readable_size_ = 0;
    read_size_ = 0;
    if (frame.size > retained_buffer_capacity) {
        // With no data to read, this signal makes the library free its copy of the handled request,
        // which it would otherwise keep until the next request.
        Q_EMIT readyRead();
    }
    framer_.reset();
    continue_sent_ = false;
    if (!request_accepted_ && request_in_progress()) {
        reject_request(frame_rejected{.detail = "malformed HTTP request"});
    }
}

void caller_socket::reject_request(const frame_rejected& reason)
{
    phase_ = phase::in_progress;
    deadline_ = no_deadline;
    keep_alive_ = false;
    head_only_ = false;
    rejected_ = true;
    observer_.on_request_rejected(*this, reason);
}

bool caller_socket::fill_buffer()
{
    const qint64 n = transport_->bytesAvailable();
    if (n <= 0) {
        return false;
    }
    const std::size_t size = buffer_.size();
    buffer_.resize(size + static_cast<std::size_t>(n));
    const qint64 bytes_read = transport_->read(buffer_.data() + size, n);
    buffer_.resize(size + static_cast<std::size_t>(std::max(bytes_read, qint64{0})));
    return bytes_read > 0;
}

void caller_socket::await_remainder(const frame_incomplete& frame)
{
    if (phase_ == phase::idle) {
        phase_ = phase::receiving;
        deadline_ = now() + limits_.transfer_timeout;
    }
    if (frame.expects_continue && !continue_sent_) {
        continue_sent_ = true;
        transport_->write(continue_response.data(), static_cast<qint64>(continue_response.size()));
    }
}

void caller_socket::finish_response()
{
    if (!keep_alive_) {
        start_lingering_close();
        return;
    }
    phase_ = phase::idle;
    deadline_ = now() + limits_.idle_timeout;
    process_input();
}

void caller_socket::start_lingering_close()
{
    phase_ = phase::lingering;
    deadline_ = now() + limits_.linger_timeout;
    const bool all_read =
        !rejected_ && buffer_.size() == readable_size_ && transport_->bytesAvailable() == 0;
    if (all_read || qobject_cast<QSslSocket*>(transport_) != nullptr) {
        transport_->disconnectFromHost();
        return;
    }
    transport_->readAll();
    ::shutdown(static_cast<int>(transport_->socketDescriptor()), SHUT_WR);
}

qint64 caller_socket::unsent_bytes() const
{
    const auto* tls = qobject_cast<const QSslSocket*>(transport_);
    return transport_->bytesToWrite() + (tls != nullptr ? tls->encryptedBytesToWrite() : 0);
}

} // namespace papayafall
