#pragma once

#include "peer_metrics.hpp"

#include "papayafall/daemon/peers/peer_options.hpp"
#include "papayafall/wire/peer/frame.hpp"

#include <QTcpSocket>

#include <cstddef>
#include <optional>
#include <string>

namespace papayafall::detail {

/// Options, authenticator and metrics that all links of a process share.
struct channel_context {
    const peer_options* options;
    const message_authenticator* authenticator;
    peer_metrics* metrics;
};

/// Receives the events of a channel. No callback may destroy the channel.
class channel_observer {
  public:
    channel_observer() = default;
    channel_observer(const channel_observer&) = delete;
    channel_observer& operator=(const channel_observer&) = delete;
    virtual ~channel_observer() = default;

    /// The handshake is complete; messages can be written from now on.
    virtual void on_ready(const hello& peer) = 0;

    /// A message other than `hello` and `link_heartbeat` arrived.
    /// @throws message_error when the peer must not send it on this link; the channel is then
    /// closed
    virtual void on_message(const peer_message& message) = 0;

    /// The socket has sent some of the written bytes.
    virtual void on_written() = 0;

    /// The channel was closed; no further messages are received.
    virtual void on_closed() = 0;
};

/// Exchanges authenticated frames over one TCP socket: handshake, sequence numbers, heartbeats, and
/// the timeouts for the peer. Used only on the thread of the socket.
class frame_channel {
  public:
    /// @param socket   connecting or connected; owned and deleted by the channel
    /// @param observer receives the events; must outlive the channel
    frame_channel(QTcpSocket* socket, link_role role, const channel_context& context,
                  channel_observer& observer);

    frame_channel(const frame_channel&) = delete;
    frame_channel& operator=(const frame_channel&) = delete;
    ~frame_channel();

    /// Whether messages can be written: the handshake is complete and the socket is open.
    bool ready() const noexcept { return ready_ && !closed_; }

    bool closed() const noexcept { return closed_; }

    /// Appends a message to the write buffer, which the next `flush` passes to the socket.
    /// @throws message_error `message_too_large`; the buffer is unchanged
    void write(const peer_message& message, time_point now);

    /// Passes the write buffer to the socket.
    void flush();

    /// Written bytes that the socket has not sent, including those of the write buffer.
    std::size_t unsent_bytes() const;

    /// Closes the channel when a timeout has passed, and sends a heartbeat when one is due.
    void on_tick(time_point now);

    /// Blocks until the written bytes are sent, at most until `deadline`.
    void drain(time_point deadline);

    /// Aborts the connection and notifies the observer. Has no effect on a closed channel.
    void close(close_reason reason);

  private:
    void connect_signals();
    void send_hello(time_point now);
    void receive();
    void receive_frames(time_point now);
    void handle_frame(std::string_view frame, time_point now);
    void handle_hello(const peer_message& message, time_point now);
    std::size_t max_receive_size() const;

    QTcpSocket* socket_;
    link_role role_;
    channel_context context_;
    channel_observer* observer_;
    frame_context sending_;
    frame_context receiving_;
    link_nonce own_nonce_;
    std::string write_buffer_;
    std::string read_buffer_;
    bool ready_ = false;
    bool closed_ = false;
    time_point next_heartbeat_at_ = no_deadline; ///< postponed by every frame that is sent
    time_point receive_deadline_;                ///< extended by every received frame
};

} // namespace papayafall::detail
