#include "frame_channel.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/wire/peer/message_limits.hpp"

#include <QRandomGenerator>

#include <algorithm>
#include <chrono>

namespace papayafall::detail {

namespace {

/// Limit on the received bytes that Qt buffers for one socket.
constexpr qint64 socket_read_buffer_bytes = 262'144;

link_nonce make_nonce()
{
    link_nonce nonce{};
    for (std::uint8_t& it : nonce) {
        it = static_cast<std::uint8_t>(QRandomGenerator::system()->generate());
    }
    return nonce;
}

link_role opposite_role(link_role role)
{
    return role == link_role::initiator ? link_role::responder : link_role::initiator;
}

} // namespace

frame_channel::frame_channel(QTcpSocket* socket, link_role role, const channel_context& context,
                             channel_observer& observer)
    : socket_(socket), role_(role), context_(context),
      observer_(&observer), sending_{.sender = role}, receiving_{.sender = opposite_role(role)},
      own_nonce_(make_nonce()),
      receive_deadline_(steady_now() + context.options->limits.connect_timeout)
{
    context_.metrics->count_opened(role_);
    socket_->setReadBufferSize(socket_read_buffer_bytes);
    connect_signals();
}

frame_channel::~frame_channel()
{
    socket_->disconnect();
    socket_->deleteLater();
}

void frame_channel::connect_signals()
{
    QObject::connect(socket_, &QTcpSocket::connected, socket_, [this] {
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        send_hello(steady_now());
    });
    QObject::connect(socket_, &QTcpSocket::readyRead, socket_, [this] { receive(); });
    QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_,
                     [this] { observer_->on_written(); });
    QObject::connect(socket_, &QTcpSocket::errorOccurred, socket_,
                     [this] { close(close_reason::peer_closed); });
    QObject::connect(socket_, &QTcpSocket::disconnected, socket_,
                     [this] { close(close_reason::peer_closed); });
}

void frame_channel::send_hello(time_point now)
{
    write(hello{context_.options->self, context_.options->zone, own_nonce_}, now);
    flush();
    link_nonce& nonce =
        role_ == link_role::initiator ? sending_.initiator_nonce : sending_.responder_nonce;
    nonce = own_nonce_;
    link_nonce& receiving_nonce =
        role_ == link_role::initiator ? receiving_.initiator_nonce : receiving_.responder_nonce;
    receiving_nonce = own_nonce_;
}

void frame_channel::write(const peer_message& message, time_point now)
{
    const std::string frame = encode_frame(message, sending_, *context_.authenticator, now);
    ++sending_.sequence;
    write_buffer_.append(frame);
    context_.metrics->count_sent(message.index(), frame.size());
}

void frame_channel::flush()
{
    if (closed_ || write_buffer_.empty()) {
        return;
    }
    socket_->write(write_buffer_.data(), static_cast<qint64>(write_buffer_.size()));
    write_buffer_.clear();
    next_heartbeat_at_ = steady_now() + context_.options->limits.heartbeat_interval;
}

std::size_t frame_channel::unsent_bytes() const
{
    return write_buffer_.size() + static_cast<std::size_t>(socket_->bytesToWrite());
}

void frame_channel::on_tick(time_point now)
{
    if (closed_) {
        return;
    }
    if (now >= receive_deadline_) {
        close(ready_ ? close_reason::silent : close_reason::connect_timeout);
        return;
    }
    if (ready_ && now >= next_heartbeat_at_) {
        write(link_heartbeat{}, now);
        flush();
    }
}

void frame_channel::drain(time_point deadline)
{
    flush();
    while (!closed_ && socket_->bytesToWrite() > 0) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_now());
        if (left.count() <= 0 || !socket_->waitForBytesWritten(static_cast<int>(left.count()))) {
            return;
        }
    }
}

void frame_channel::close(close_reason reason)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    write_buffer_.clear();
    context_.metrics->count_closed(role_, reason);
    socket_->abort();
    observer_->on_closed();
}

void frame_channel::receive()
{
    const time_point now = steady_now();
    while (!closed_ && socket_->bytesAvailable() > 0) {
        const QByteArray chunk = socket_->readAll();
        read_buffer_.append(chunk.data(), static_cast<std::size_t>(chunk.size()));
        try {
            receive_frames(now);
        } catch (const message_error& ex) {
            context_.metrics->count_rejected(ex.id());
            close(close_reason::rejected);
        }
    }
}

void frame_channel::receive_frames(time_point now)
{
    std::string_view remaining = read_buffer_;
    while (!closed_) {
        const std::optional<std::size_t> size = frame_size(remaining, max_receive_size());
        if (!size || remaining.size() < *size) {
            break;
        }
        handle_frame(remaining.substr(0, *size), now);
        remaining.remove_prefix(*size);
    }
    read_buffer_.erase(0, read_buffer_.size() - remaining.size());
}

void frame_channel::handle_frame(std::string_view frame, time_point now)
{
    const peer_message message = decode_frame(frame, receiving_, *context_.authenticator, now);
    context_.metrics->count_received(message.index(), frame.size());
    ++receiving_.sequence;
    if (!ready_) {
        handle_hello(message, now);
        return;
    }
    receive_deadline_ = now + context_.options->limits.receive_timeout;
    if (std::holds_alternative<hello>(message)) {
        throw message_error(error_id::malformed_message, "second hello on an established link");
    }
    if (!std::holds_alternative<link_heartbeat>(message)) {
        observer_->on_message(message);
    }
}

void frame_channel::handle_hello(const peer_message& message, time_point now)
{
    const auto* peer_hello = std::get_if<hello>(&message);
    if (peer_hello == nullptr) {
        throw message_error(error_id::malformed_message,
                            "the first frame of a link is not a hello");
    }
    if (role_ == link_role::responder) {
        sending_.initiator_nonce = peer_hello->nonce;
        send_hello(now);
        receiving_.initiator_nonce = peer_hello->nonce;
    } else {
        sending_.responder_nonce = peer_hello->nonce;
        receiving_.responder_nonce = peer_hello->nonce;
        // The first frame after the hello proves that this side holds the key; sending it at once
        // lets the peer accept large frames.
        write(link_heartbeat{}, now);
    }
    ready_ = true;
    receive_deadline_ = now + context_.options->limits.receive_timeout;
    observer_->on_ready(*peer_hello);
    flush();
}

std::size_t frame_channel::max_receive_size() const
{
    // A responder cannot tell a new hello from one recorded on another link. Only the next frame,
    // whose tag covers the nonces of both sides, proves that the initiator holds the key.
    const std::uint64_t min_authenticated_sequence = role_ == link_role::responder ? 2 : 1;
    return receiving_.sequence < min_authenticated_sequence ? max_hello_frame_size : max_frame_size;
}

} // namespace papayafall::detail
