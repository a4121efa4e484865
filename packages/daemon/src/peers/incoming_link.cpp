#include "incoming_link.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

namespace papayafall::detail {

namespace {

/// Failure that replaces an answer larger than a frame.
failure make_answer_too_large_failure()
{
    return {error_id::message_too_large, run_state::ran,
            "the answer exceeds the maximum size of a peer message"};
}

struct replace_with_size_error {
    peer_message operator()(const forwarded_answer& it) const
    {
        return forwarded_answer{it.correlation, make_answer_too_large_failure()};
    }

    peer_message operator()(const delegation_answer& it) const
    {
        return delegation_answer{it.exchange, make_answer_too_large_failure()};
    }

    template <typename Message>
    peer_message operator()(const Message& it) const
    {
        return it;
    }
};

} // namespace

incoming_link::incoming_link(QTcpSocket* socket, const channel_context& context,
                             pending_answers& pending, const served_configuration& current,
                             event_sink& events)
    : context_(context), pending_answers_(&pending), served_configuration_(&current),
      events_(&events), channel_(socket, link_role::responder, context, *this)
{
}

incoming_link::~incoming_link()
{
    channel_.close(close_reason::shutdown);
}

void incoming_link::answer(pending_answer& pending, const peer_message& message)
{
    remove_pending_answer(pending);
    try {
        write(message);
    } catch (const message_error& ex) {
        context_.metrics->count_rejected(ex.id());
        write(std::visit(replace_with_size_error(), message));
    }
    if (channel_.unsent_bytes() > context_.options->limits.max_queued_bytes) {
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
    std::visit([this](const auto& it) { handle(it); }, message);
}

void incoming_link::on_closed()
{
    while (!link_pending_answers_.empty()) {
        remove_pending_answer(link_pending_answers_.front());
    }
}

void incoming_link::handle(const forwarded_request& message)
{
    const peer_origin origin{peer_, message.correlation};
    register_pending_answer(origin);
    events_->post(forward_received{origin, message.content});
}

void incoming_link::handle(const forwarded_cancel& message)
{
    const peer_origin origin{peer_, message.correlation};
    register_pending_answer(origin);
    events_->post(cancel_received{origin, message.key});
}

void incoming_link::handle(const delegated_work& message)
{
    const peer_owner owner{peer_, message.exchange};
    register_pending_answer(owner);
    events_->post(delegation_received{owner, message.work});
}

void incoming_link::handle(const delegation_cancel& message)
{
    const peer_owner owner{peer_, message.exchange};
    const auto it = pending_answers_->find(owner);
    if (it == pending_answers_->end() || it->link != this) {
        return;
    }
    remove_pending_answer(*it);
    events_->post(delegation_cancelled{owner});
}

void incoming_link::handle(const configuration_request& /*message*/)
{
    write(configuration_reply{served_configuration_->content, served_configuration_->origin});
    flush();
}

template <typename Message>
void incoming_link::handle(const Message& /*message*/)
{
    throw message_error(error_id::malformed_message,
                        "a peer sent an answer on a link that it opened");
}

void incoming_link::register_pending_answer(const answer_receiver& receiver)
{
    if (pending_count_ >= context_.options->limits.max_pending_messages) {
        throw message_error(error_id::message_too_large, "too many pending requests on one link");
    }
    auto pending = std::make_unique<pending_answer>(receiver, *this);
    if (!pending_answers_->insert(*pending).second) {
        throw message_error(error_id::malformed_message,
                            "a peer reused the identifier of a pending request");
    }
    link_pending_answers_.push_back(*pending.release());
    ++pending_count_;
}

void incoming_link::write(const peer_message& message)
{
    if (channel_.ready()) {
        channel_.write(message, steady_now());
    }
}

void incoming_link::remove_pending_answer(pending_answer& pending)
{
    --pending_count_;
    const std::unique_ptr<pending_answer> removed(&pending);
}

} // namespace papayafall::detail
