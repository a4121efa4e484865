#pragma once

#include "frame_channel.hpp"
#include "outgoing_message.hpp"

#include "papayafall/core/engine/sinks.hpp"

#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace papayafall::detail {

/// Why a message got no answer.
enum class delivery_failure : std::uint8_t {
    not_sent,        ///< no byte of it was passed to the socket
    connection_lost, ///< the link was closed after the message was written
    no_answer,       ///< no answer arrived in time
};

/// A link opened by this process to one peer, for sending requests and receiving their answers.
class outgoing_link : public boost::intrusive::set_base_hook<>, private channel_observer {
  public:
    /// Starts to connect.
    /// @param address a numeric IP address and a port
    /// @param index   pending messages of all outgoing links; must outlive the link
    /// @param events  receives the events; must outlive the link
    outgoing_link(endpoint address, const channel_context& context, pending_message_index& index,
                  event_sink& events);
    ~outgoing_link() override;

    const endpoint& address() const noexcept { return address_; }

    bool closed() const noexcept { return channel_->closed(); }

    /// Queues a message, or reports it as not sent when the link is closed or a limit is reached.
    /// A second `configuration_request` is dropped while one is pending.
    void send(std::unique_ptr<outgoing_message> message);

    /// Writes queued messages until `max_unsent_socket_bytes` are unsent.
    void flush();

    /// Stops waiting for the answer to a delegation. Sends a cancellation when the peer may have
    /// received the work.
    void abandon(outgoing_message& message);

    /// Reports the failure of a message whose answer did not arrive in time.
    void expire(outgoing_message& message);

    void on_tick(time_point now);

    void close(close_reason reason) { channel_->close(reason); }

  private:
    void on_ready(const hello& peer) override;
    void on_message(const peer_message& message) override;

    void on_written() override { flush(); }

    void on_closed() override;

    void handle(const forwarded_answer& message);
    void handle(const delegation_answer& message);
    void handle(const configuration_reply& message);

    template <typename Message>
    void handle(const Message& message);

    bool has_capacity_for(const outgoing_message& message) const;
    void enqueue(outgoing_message& message);
    /// Writes the first queued message. Reports it as not sent when its deadline has passed, when
    /// it is too large, or when another process incarnation answers at the address.
    void write_next(time_point now);
    /// Removes a message; an answer that arrives later is ignored.
    void finish(outgoing_message& message);
    void fail(outgoing_message& message, delivery_failure failure);
    void fail_all(outgoing_message_list& messages, delivery_failure failure);
    outgoing_message* find_written(const reply_key& key);

    endpoint address_;
    channel_context context_;
    pending_message_index* index_;
    event_sink* events_;
    std::optional<peer_id> peer_;
    outgoing_message_list queued_;  ///< not written yet
    outgoing_message_list written_; ///< written and awaiting their answers
    std::size_t queued_bytes_ = 0;
    std::size_t pending_count_ = 0;
    outgoing_message* pending_fetch_ = nullptr; ///< the only pending configuration_request
    time_point idle_deadline_;
    std::unique_ptr<frame_channel> channel_;
};

/// Posts the event that tells the core why `message` got no answer. Posts nothing for messages
/// whose failure the core is not told of.
void report_failure(const peer_message& message, delivery_failure failure, event_sink& events);

struct outgoing_link_address {
    using type = endpoint;

    const endpoint& operator()(const outgoing_link& it) const noexcept { return it.address(); }
};

} // namespace papayafall::detail
