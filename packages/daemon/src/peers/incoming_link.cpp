#include "incoming_link.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

namespace papayafall::detail {

namespace {

/// What the peer learns of a task or request whose answer does not fit a frame.
failure answer_too_large()
{
    return {error_id::message_too_large, run_state::ran, "the answer does not fit a peer frame"};
}

struct shorter_answer {
    peer_message operator()(const forwarded_answer& it) const
    {
        return forwarded_answer{it.correlation, answer_too_large()};
    }

    peer_message operator()(const delegation_answer& it) const
    {
        return delegation_answer{it.exchange, answer_too_large()};
    }

    template <typename Message>
    peer_message operator()(const Message& it) const
    {
        return it;
    }
};

} // namespace

incoming_link::incoming_link(QTcpSocket* socket, const channel_context& context, due_answers& due,
                             const served_configuration& current, event_sink& events)
    : context_(context), due_(&due), current_(&current), events_(&events),
      channel_(socket, link_role::responder, context, *this)
{
}

incoming_link::~incoming_link()
{
    channel_.close(close_reason::shutdown);
}

void incoming_link::answer(due_answer& due, const peer_message& message)
{
    finish(due);
    try {
        write(message);
    } catch (const message_error& ec) {
        context_.metrics->count_rejected(ec.id());
        write(std::visit(shorter_answer(), message));
    }
    if (channel_.unsent_bytes() > context_.options->limits.queued_bytes) {
        channel_.close(close_reason::overloaded);
    }
}

void incoming_link::flush()
{
    if (channel_.ready()) {
        channel_.flush();
    }
}

void incoming_link::on_message(const peer_message& message)
{
    std::visit([this](const auto& it) { accept(it); }, message);
}

void incoming_link::on_closed()
{
    while (!own_due_.empty()) {
        finish(own_due_.front());
    }
}

void incoming_link::accept(const forwarded_request& message)
{
    const peer_origin origin{peer_, message.correlation};
    expect_answer(origin);
    events_->post(forward_received{origin, message.content});
}

void incoming_link::accept(const forwarded_cancel& message)
{
    const peer_origin origin{peer_, message.correlation};
    expect_answer(origin);
    events_->post(cancel_received{origin, message.key});
}

void incoming_link::accept(const delegated_work& message)
{
    const peer_owner owner{peer_, message.exchange};
    expect_answer(owner);
    events_->post(delegation_received{owner, message.work});
}

void incoming_link::accept(const delegation_cancel& message)
{
    const peer_owner owner{peer_, message.exchange};
    const auto it = due_->find(owner);
    if (it == due_->end() || it->link != this) {
        return;
    }
    finish(*it);
    events_->post(delegation_cancelled{owner});
}

void incoming_link::accept(const configuration_request& /*message*/)
{
    write(configuration_reply{current_->content, current_->origin});
    flush();
}

template <typename Message>
void incoming_link::accept(const Message& /*message*/)
{
    throw message_error(error_id::malformed_message, "a peer sent an answer on its own link");
}

void incoming_link::expect_answer(const answer_receiver& receiver)
{
    if (waiting_ >= context_.options->limits.waiting_messages) {
        throw message_error(error_id::message_too_large, "too many requests wait on a link");
    }
    auto due = std::make_unique<due_answer>(receiver, *this);
    if (!due_->insert(*due).second) {
        throw message_error(error_id::malformed_message, "a peer used a number twice");
    }
    own_due_.push_back(*due.release());
    ++waiting_;
}

void incoming_link::write(const peer_message& message)
{
    if (channel_.ready()) {
        channel_.write(message, steady_now());
    }
}

void incoming_link::finish(due_answer& due)
{
    --waiting_;
    const std::unique_ptr<due_answer> last(&due);
}

} // namespace papayafall::detail
