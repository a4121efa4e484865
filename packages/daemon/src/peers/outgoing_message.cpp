#include "outgoing_message.hpp"

#include <utility>

namespace papayafall::detail {

namespace {

/// Estimated size of a message without its task bodies, in bytes.
constexpr std::size_t message_overhead_bytes = 256;

struct reply_key_visitor {
    reply_key operator()(const forwarded_request& it) const { return it.correlation; }

    reply_key operator()(const forwarded_cancel& it) const { return it.correlation; }

    reply_key operator()(const delegated_work& it) const { return it.exchange; }

    template <typename Message>
    reply_key operator()(const Message& /*it*/) const
    {
        return std::monostate();
    }
};

struct approximate_size_visitor {
    std::size_t operator()(const forwarded_request& it) const
    {
        std::size_t size = message_overhead_bytes;
        for (const task& unit : it.content->tasks) {
            size += sizeof(unit) + unit.body.size();
        }
        return size;
    }

    std::size_t operator()(const delegated_work& it) const
    {
        return message_overhead_bytes + it.work->body.size();
    }

    template <typename Message>
    std::size_t operator()(const Message& /*it*/) const
    {
        return message_overhead_bytes;
    }
};

struct deadline_visitor {
    time_point operator()(const forwarded_request& it) const { return it.content->deadline; }

    time_point operator()(const delegated_work& it) const { return it.work->deadline; }

    template <typename Message>
    time_point operator()(const Message& /*it*/) const
    {
        return no_deadline;
    }
};

/// Cancellations and configuration requests have no deadline of their own, but the peer answers
/// them at once. Other messages without a deadline wait for their answer indefinitely.
time_point compute_answer_deadline(const peer_message& message, time_point send_deadline,
                                   time_point now, duration reply_grace_period)
{
    if (send_deadline != no_deadline) {
        return send_deadline + reply_grace_period;
    }
    const bool immediate = std::holds_alternative<forwarded_cancel>(message) ||
                           std::holds_alternative<configuration_request>(message);
    return immediate ? now + reply_grace_period : no_deadline;
}

} // namespace

outgoing_message::outgoing_message(peer_id to, peer_message message, time_point now,
                                   duration reply_grace_period)
    : peer(std::move(to)), content(std::move(message)),
      key(std::visit(reply_key_visitor(), content)),
      size(std::visit(approximate_size_visitor(), content)),
      send_deadline(std::visit(deadline_visitor(), content)),
      answer_deadline(compute_answer_deadline(content, send_deadline, now, reply_grace_period))
{
}

bool expects_answer(const peer_message& message) noexcept
{
    return std::holds_alternative<forwarded_request>(message) ||
           std::holds_alternative<forwarded_cancel>(message) ||
           std::holds_alternative<delegated_work>(message) ||
           std::holds_alternative<configuration_request>(message);
}

} // namespace papayafall::detail
