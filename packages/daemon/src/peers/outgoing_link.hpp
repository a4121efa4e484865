#pragma once

#include "frame_channel.hpp"
#include "outgoing_message.hpp"

#include "papayafall/core/engine/sinks.hpp"

#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace papayafall::detail {

/// What became of a message that got no answer.
enum class delivery_failure : std::uint8_t {
    not_sent,        ///< not a byte of it was written
    connection_lost, ///< the link was closed after it was written
    no_answer,       ///< no answer came in time
};

/// The link to one peer, opened by this process: its requests go out, their answers come back.
class outgoing_link : public boost::intrusive::set_base_hook<>, private channel_observer {
  public:
    /// Starts to connect.
    /// @param address a numeric IP address and a port
    outgoing_link(endpoint address, const channel_context& context, pending_message_index& index,
                  event_sink& events);
    ~outgoing_link() override;

    const endpoint& address() const noexcept { return address_; }

    bool closed() const noexcept { return channel_->closed(); }

    /// Queues a message, or reports it as not sent when too much waits already.
    void send(std::unique_ptr<outgoing_message> message);

    /// Writes what is queued, as far as the socket takes it.
    void flush();

    /// Ends the wait for the answer to a delegation; tells the peer if it may have the work.
    void abandon(outgoing_message& message);

    /// Gives up a message whose answer did not come in time.
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
    /// Writes the first message of the queue, or reports it as not sent.
    void write_next(time_point now);
    /// Removes a message; its answer, if one comes, is ignored from then on.
    void finish(outgoing_message& message);
    void fail(outgoing_message& message, delivery_failure failure);
    void fail_all(outgoing_queue& messages, delivery_failure failure);
    outgoing_message* find_written(const reply_key& key);

    endpoint address_;
    channel_context context_;
    pending_message_index* index_;
    event_sink* events_;
    std::optional<peer_id> peer_;
    outgoing_queue queued_;
    outgoing_queue written_;
    std::size_t queued_bytes_ = 0;
    std::size_t pending_count_ = 0;
    outgoing_message* pending_fetch_ = nullptr; ///< the one configuration_request that waits
    time_point idle_deadline_;
    std::unique_ptr<frame_channel> channel_;
};

/// Tells the core that `message` got no answer.
void report_failure(const peer_message& message, delivery_failure failure, event_sink& events);

struct outgoing_link_address {
    using type = endpoint;

    const endpoint& operator()(const outgoing_link& it) const noexcept { return it.address(); }
};

} // namespace papayafall::detail
