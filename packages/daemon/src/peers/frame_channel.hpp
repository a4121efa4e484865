#pragma once

#include "peer_metrics.hpp"

#include "papayafall/daemon/peers/peer_options.hpp"
#include "papayafall/wire/peer/frame.hpp"

#include <QTcpSocket>

#include <cstddef>
#include <optional>
#include <string>

namespace papayafall::detail {

/// What every link of this process shares.
struct channel_context {
    const peer_options* options;
    const message_authenticator* authenticator;
    peer_metrics* metrics;
};

/// Learns what happens on a channel. No call may destroy the channel.
class channel_observer {
  public:
    channel_observer() = default;
    channel_observer(const channel_observer&) = delete;
    channel_observer& operator=(const channel_observer&) = delete;
    virtual ~channel_observer() = default;

    /// The peer's first frame was accepted; messages may be written from now on.
    virtual void on_ready(const hello& peer) = 0;

    /// A message other than `hello` and `link_heartbeat` arrived.
    /// @throws message_error when the peer may not send it here; the channel is then closed
    virtual void on_message(const peer_message& message) = 0;

    /// The socket has passed on some of what was written.
    virtual void on_written() = 0;

    /// The channel was closed; nothing arrives any more.
    virtual void on_closed() = 0;
};

/// Frames over one socket: the exchange of first frames, sequence numbers, heartbeats and the
/// deadlines for the peer. Belongs to the thread of its socket.
class frame_channel {
  public:
    /// @param socket   connecting or connected; the channel deletes it
    /// @param observer outlives the channel
    frame_channel(QTcpSocket* socket, link_role role, const channel_context& context,
                  channel_observer& observer);

    frame_channel(const frame_channel&) = delete;
    frame_channel& operator=(const frame_channel&) = delete;
    ~frame_channel();

    /// Whether messages can be written: the first frames were exchanged and the socket is open.
    bool ready() const noexcept { return ready_ && !closed_; }

    bool closed() const noexcept { return closed_; }

    /// Appends a message to the batch that the next `flush` hands to the socket.
    /// @throws message_error `message_too_large`; nothing is appended then
    void write(const peer_message& message, time_point now);

    /// Hands the batch to the socket.
    void flush();

    /// Bytes that were written and that the socket has not passed on.
    std::size_t unsent_bytes() const;

    /// Acts on the deadlines that have passed.
    void on_tick(time_point now);

    /// Gives the socket until `deadline` to pass on what was written.
    void drain(time_point deadline);

    /// Closes the socket at once and tells the observer, the first time.
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
    time_point next_heartbeat_at_ = no_deadline; ///< a heartbeat is sent unless a frame is before
    time_point receive_deadline_; ///< the channel is closed unless a frame comes before
};

} // namespace papayafall::detail
