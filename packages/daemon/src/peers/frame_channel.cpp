#include "frame_channel.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/wire/peer/message_limits.hpp"

#include <QRandomGenerator>

#include <algorithm>
#include <chrono>

namespace papayafall::detail {

namespace {

/// Bytes that Qt may read ahead for one socket.
constexpr qint64 read_ahead = 262'144;

link_nonce make_nonce()
{
    link_nonce nonce{};
    for (std::uint8_t& it : nonce) {
        it = static_cast<std::uint8_t>(QRandomGenerator::system()->generate());
    }
    return nonce;
}

link_role other_end(link_role role)
{
    return role == link_role::initiator ? link_role::responder : link_role::initiator;
}

} // namespace

frame_channel::frame_channel(QTcpSocket* socket, link_role role, const channel_context& context,
                             channel_observer& observer)
    : socket_(socket), role_(role), context_(context),
      observer_(&observer), sending_{.sender = role}, receiving_{.sender = other_end(role)},
      own_nonce_(make_nonce()), receive_by_(steady_now() + context.options->limits.connect_limit)
{
    context_.metrics->count_opened(role_);
    socket_->setReadBufferSize(read_ahead);
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
    link_nonce& expected =
        role_ == link_role::initiator ? receiving_.initiator_nonce : receiving_.responder_nonce;
    expected = own_nonce_;
}

void frame_channel::write(const peer_message& message, time_point now)
{
    const std::string frame = encode_frame(message, sending_, *context_.authenticator, now);
    ++sending_.sequence;
    batch_.append(frame);
    context_.metrics->count_sent(message.index(), frame.size());
}

void frame_channel::flush()
{
    if (closed_ || batch_.empty()) {
        return;
    }
    socket_->write(batch_.data(), static_cast<qint64>(batch_.size()));
    batch_.clear();
    heartbeat_at_ = steady_now() + context_.options->limits.heartbeat_interval;
}

std::size_t frame_channel::unsent_bytes() const
{
    return batch_.size() + static_cast<std::size_t>(socket_->bytesToWrite());
}

void frame_channel::on_tick(time_point now)
{
    if (closed_) {
        return;
    }
    if (now >= receive_by_) {
        close(ready_ ? close_reason::silent : close_reason::connect_timeout);
        return;
    }
    if (ready_ && now >= heartbeat_at_) {
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
    batch_.clear();
    context_.metrics->count_closed(role_, reason);
    socket_->abort();
    observer_->on_closed();
}

void frame_channel::receive()
{
    const time_point now = steady_now();
    while (!closed_ && socket_->bytesAvailable() > 0) {
        const QByteArray chunk = socket_->readAll();
        received_.append(chunk.data(), static_cast<std::size_t>(chunk.size()));
        try {
            receive_frames(now);
        } catch (const message_error& ec) {
            context_.metrics->count_rejected(ec.id());
            close(close_reason::rejected);
        }
    }
}

void frame_channel::receive_frames(time_point now)
{
    std::string_view rest = received_;
    while (!closed_) {
        const std::optional<std::size_t> size = frame_size(rest, receive_limit());
        if (!size || rest.size() < *size) {
            break;
        }
        accept_frame(rest.substr(0, *size), now);
        rest.remove_prefix(*size);
    }
    received_.erase(0, received_.size() - rest.size());
}

void frame_channel::accept_frame(std::string_view frame, time_point now)
{
    const peer_message message = decode_frame(frame, receiving_, *context_.authenticator, now);
    context_.metrics->count_received(message.index(), frame.size());
    ++receiving_.sequence;
    if (!ready_) {
        accept_hello(message, now);
        return;
    }
    receive_by_ = now + context_.options->limits.silence_limit;
    if (std::holds_alternative<hello>(message)) {
        throw message_error(error_id::malformed_message, "a link has a second hello");
    }
    if (!std::holds_alternative<link_heartbeat>(message)) {
        observer_->on_message(message);
    }
}

void frame_channel::accept_hello(const peer_message& message, time_point now)
{
    const auto* first = std::get_if<hello>(&message);
    if (first == nullptr) {
        throw message_error(error_id::malformed_message, "a link does not start with a hello");
    }
    if (role_ == link_role::responder) {
        sending_.initiator_nonce = first->nonce;
        send_hello(now);
        receiving_.initiator_nonce = first->nonce;
    } else {
        sending_.responder_nonce = first->nonce;
        receiving_.responder_nonce = first->nonce;
        // Shows at once that this end holds the key, so that the peer accepts large frames.
        write(link_heartbeat{}, now);
    }
    ready_ = true;
    receive_by_ = now + context_.options->limits.silence_limit;
    observer_->on_ready(*first);
    flush();
}

std::size_t frame_channel::receive_limit() const
{
    // A hello that was recorded on another link passes; only the frame after it proves the key.
    const std::uint64_t proven_after = role_ == link_role::responder ? 2 : 1;
    return receiving_.sequence < proven_after ? max_hello_frame_size : max_frame_size;
}

} // namespace papayafall::detail
