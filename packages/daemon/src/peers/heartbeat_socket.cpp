#include "heartbeat_socket.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/peer/datagram.hpp"
#include "papayafall/wire/peer/message_limits.hpp"

#include <QHostAddress>

#include <array>

namespace papayafall::detail {

namespace {

/// Datagrams read per notification, so that a flood does not starve the thread's other sockets.
constexpr std::size_t max_datagrams_per_read = 256;

/// Drops half of the leaving targets. Peers still learn of them from the host list, only later.
heartbeat with_half_the_leaving_targets(const heartbeat& beat)
{
    return beat.with(
        [](heartbeat_fields& it) { it.leaving_targets.resize(it.leaving_targets.size() / 2); });
}

std::string encode_within_size_limit(heartbeat beat, const message_authenticator& authenticator)
{
    while (!beat->leaving_targets.empty()) {
        try {
            return encode_datagram(beat, authenticator);
        } catch (const message_error&) {
            beat = with_half_the_leaving_targets(beat);
        }
    }
    return encode_datagram(beat, authenticator);
}

} // namespace

heartbeat_socket::heartbeat_socket(const channel_context& context, event_sink& events)
    : context_(context), events_(&events)
{
    const endpoint& wanted = context_.options->datagrams;
    const QHostAddress host(QString::fromStdString(wanted.address));
    if (host.isNull() || !socket_.bind(host, wanted.port)) {
        throw configuration_error(error_id::invalid_settings, "/peers/datagrams",
                                  "cannot bind the UDP socket for heartbeats to " + wanted.address +
                                      " port " + std::to_string(wanted.port));
    }
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
}

void heartbeat_socket::send(const heartbeat& beat, const std::vector<endpoint>& peers)
{
    std::string datagram;
    try {
        datagram = encode_within_size_limit(beat, *context_.authenticator);
    } catch (const message_error& ex) {
        context_.metrics->count_rejected(ex.id());
        return;
    }
    for (const endpoint& it : peers) {
        const QHostAddress host(QString::fromStdString(it.address));
        socket_.writeDatagram(datagram.data(), static_cast<qint64>(datagram.size()), host, it.port);
        context_.metrics->count_sent(heartbeat_kind, datagram.size());
    }
}

endpoint heartbeat_socket::address() const
{
    return {context_.options->datagrams.address, socket_.localPort()};
}

void heartbeat_socket::receive()
{
    for (std::size_t n = 0; n < max_datagrams_per_read && socket_.hasPendingDatagrams(); ++n) {
        receive_one();
    }
}

void heartbeat_socket::receive_one()
{
    // One byte more than the maximum, so that an oversized datagram is recognized after truncation.
    std::array<char, max_datagram_size + 1> buf{};
    const qint64 size = socket_.readDatagram(buf.data(), buf.size());
    if (size < 0) {
        return;
    }
    try {
        const heartbeat beat = decode_datagram(
            std::string_view(buf.data(), static_cast<std::size_t>(size)), *context_.authenticator);
        context_.metrics->count_received(heartbeat_kind, static_cast<std::size_t>(size));
        events_->post(heartbeat_received{beat});
    } catch (const message_error& ex) {
        context_.metrics->count_rejected(ex.id());
    }
}

} // namespace papayafall::detail
