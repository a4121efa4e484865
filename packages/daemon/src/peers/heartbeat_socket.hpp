#pragma once

#include "frame_channel.hpp"

#include "papayafall/core/engine/sinks.hpp"

#include <QUdpSocket>

#include <vector>

namespace papayafall::detail {

/// Sends and receives heartbeats as UDP datagrams.
class heartbeat_socket {
  public:
    /// @throws configuration_error `invalid_settings` when the socket cannot be bound
    heartbeat_socket(const channel_context& context, event_sink& events);

    /// Sends `beat` to each peer. Leaving targets are dropped until it fits one datagram.
    void send(const heartbeat& beat, const std::vector<endpoint>& peers);

    /// The bound address, with the actual port.
    endpoint address() const;

  private:
    void receive();
    void receive_one();

    channel_context context_;
    event_sink* events_;
    QUdpSocket socket_;
};

} // namespace papayafall::detail
