#include "outgoing_message.hpp"

#include <utility>

namespace papayafall::detail {

namespace {

/// Allowance for all but the bodies of a message, in bytes.
constexpr std::size_t base_size = 256;

struct key_reader {
    reply_key operator()(const forwarded_request& it) const { return it.correlation; }

    reply_key operator()(const forwarded_cancel& it) const { return it.correlation; }

    reply_key operator()(const delegated_work& it) const { return it.exchange; }

    template <typename Message>
    reply_key operator()(const Message& /*it*/) const
    {
        return std::monostate();
    }
};

struct size_reader {
    std::size_t operator()(const forwarded_request& it) const
    {
        std::size_t size = base_size;
        for (const task& unit : it.content->tasks) {
            size += sizeof(unit) + unit.body.size();
        }
        return size;
    }

    std::size_t operator()(const delegated_work& it) const
    {
        return base_size + it.work->body.size();
    }

    template <typename Message>
    std::size_t operator()(const Message& /*it*/) const
    {
        return base_size;
    }
};

struct deadline_reader {
    time_point operator()(const forwarded_request& it) const { return it.content->deadline; }

    time_point operator()(const delegated_work& it) const { return it.work->deadline; }

    template <typename Message>
    time_point operator()(const Message& /*it*/) const
    {
        return no_deadline;
    }
};

/// Work without a deadline may take any time; a cancellation or a fetch is answered at once.
time_point answer_deadline(const peer_message& message, time_point send_by, time_point now,
                           duration reply_grace)
{
    if (send_by != no_deadline) {
        return send_by + reply_grace;
    }
    const bool immediate = std::holds_alternative<forwarded_cancel>(message) ||
                           std::holds_alternative<configuration_request>(message);
    return immediate ? now + reply_grace : no_deadline;
}

} // namespace

outgoing_message::outgoing_message(peer_id to, peer_message message, time_point now,
                                   duration reply_grace)
    : peer(std::move(to)), content(std::move(message)), key(std::visit(key_reader(), content)),
      size(std::visit(size_reader(), content)), send_by(std::visit(deadline_reader(), content)),
      answer_by(answer_deadline(content, send_by, now, reply_grace))
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
