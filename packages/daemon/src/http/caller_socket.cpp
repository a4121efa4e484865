#include "papayafall/daemon/http/caller_socket.hpp"

#include <QSslSocket>

#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace papayafall {

namespace {

constexpr qint64 transport_buffer_size = qint64{64} * 1024;
constexpr std::size_t kept_buffer_capacity = std::size_t{16} * 1024;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller_socket::caller_socket(QTcpSocket* transport, const connection_limits& limits,
                             const clock_source& clock, caller_socket_observer& observer,
                             QObject* parent)
    : QTcpSocket(parent), transport_(transport), clock_(clock), observer_(observer),
      limits_(limits), framer_(limits.max_header_size, limits.max_body_size),
      deadline_(now() + limits.transfer_time)
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

void caller_socket::begin(bool head_only) noexcept
{
    accepted_ = true;
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
    deadline_ = now() + limits_.transfer_time;
    transport_->write(message.data(), static_cast<qint64>(message.size()));
    transport_->flush();
    if (phase_ == phase::sending && unsent_bytes() == 0) {
        finish_response();
    }
}

void caller_socket::close_when_idle()
{
    keep_alive_ = false;
    advance();
    if (phase_ == phase::idle) {
        transport_->disconnectFromHost();
    }
}

void caller_socket::check_deadline(time_point instant)
{
    if (instant < deadline_) {
        return;
    }
    if (phase_ == phase::receiving) {
        refuse(frame_refused{.status = 408, .detail = "the request did not arrive in time"});
        return;
    }
    cut();
}

void caller_socket::cut()
{
    transport_->abort();
    on_transport_closed();
}

qint64 caller_socket::bytesAvailable() const
{
    return QTcpSocket::bytesAvailable() + static_cast<qint64>(released_ - read_);
}

bool caller_socket::canReadLine() const
{
    const auto unread = std::string_view(buffer_).substr(read_, released_ - read_);
    return QTcpSocket::canReadLine() || unread.find('\n') != std::string_view::npos;
}

void caller_socket::disconnectFromHost()
{
    transport_->disconnectFromHost();
}

qint64 caller_socket::readData(char* data, qint64 max_size)
{
    const std::size_t n = std::min(static_cast<std::size_t>(max_size), released_ - read_);
    std::memcpy(data, buffer_.data() + read_, n);
    read_ += n;
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
    advance();
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
    released_ = 0;
    read_ = 0;
    observer_.on_closed(*this);
    setSocketState(UnconnectedState);
    Q_EMIT disconnected();
    deleteLater();
}

void caller_socket::advance()
{
    if (advancing_) {
        return;
    }
    advancing_ = true;
    while (take_request()) {
    }
    advancing_ = false;
}

bool caller_socket::take_request()
{
    if (phase_ != phase::idle && phase_ != phase::receiving) {
        return false;
    }
    fill_buffer();
    if (buffer_.empty()) {
        return false;
    }
    const frame next = framer_.inspect(buffer_);
    if (const auto* part = std::get_if<frame_incomplete>(&next)) {
        await_rest(*part);
        return transport_->bytesAvailable() > 0;
    }
    if (const auto* reason = std::get_if<frame_refused>(&next)) {
        refuse(*reason);
        return false;
    }
    release(std::get<frame_complete>(next));
    return true;
}

void caller_socket::release(const frame_complete& whole)
{
    phase_ = phase::in_progress;
    deadline_ = no_deadline;
    keep_alive_ = keep_alive_ && whole.keep_alive;
    accepted_ = false;
    released_ = whole.size;
    read_ = 0;
    Q_EMIT readyRead();
    buffer_.erase(0, whole.size);
    if (buffer_.empty() && buffer_.capacity() > kept_buffer_capacity) {
        buffer_.shrink_to_fit();
    }
    released_ = 0;
    read_ = 0;
    if (whole.size > kept_buffer_capacity) {
        // Without bytes the library only clears its copy of the request that it has handled, which
        // it would otherwise keep until the next request.
        Q_EMIT readyRead();
    }
    framer_.next();
    continue_sent_ = false;
    if (!accepted_ && busy()) {
        refuse(frame_refused{.detail = "the request is malformed"});
    }
}

void caller_socket::refuse(const frame_refused& reason)
{
    phase_ = phase::in_progress;
    deadline_ = no_deadline;
    keep_alive_ = false;
    head_only_ = false;
    refused_ = true;
    observer_.on_refused(*this, reason);
}

bool caller_socket::fill_buffer()
{
    const qint64 n = transport_->bytesAvailable();
    if (n <= 0) {
        return false;
    }
    const std::size_t size = buffer_.size();
    buffer_.resize(size + static_cast<std::size_t>(n));
    const qint64 got = transport_->read(buffer_.data() + size, n);
    buffer_.resize(size + static_cast<std::size_t>(std::max(got, qint64{0})));
    return got > 0;
}

void caller_socket::await_rest(const frame_incomplete& part)
{
    if (phase_ == phase::idle) {
        phase_ = phase::receiving;
        deadline_ = now() + limits_.transfer_time;
    }
    if (part.expects_continue && !continue_sent_) {
        continue_sent_ = true;
        transport_->write(continue_response.data(), static_cast<qint64>(continue_response.size()));
    }
}

void caller_socket::finish_response()
{
    if (!keep_alive_) {
        linger();
        return;
    }
    phase_ = phase::idle;
    deadline_ = now() + limits_.idle_time;
    advance();
}

void caller_socket::linger()
{
    phase_ = phase::lingering;
    deadline_ = now() + limits_.linger_time;
    const bool all_read =
        !refused_ && buffer_.size() == released_ && transport_->bytesAvailable() == 0;
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
