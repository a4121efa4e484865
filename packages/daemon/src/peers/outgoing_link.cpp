#include "outgoing_link.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <QHostAddress>

#include <utility>

namespace papayafall::detail {

namespace {

/// Limit on the unsent bytes of the socket. Messages beyond it stay in the queue, where they can
/// still be reported as not sent.
constexpr std::size_t max_unsent_socket_bytes = 65'536;

exchange_outcome outcome_of(delivery_failure failure)
{
    switch (failure) {
    case delivery_failure::not_sent:
        return not_sent{};
    case delivery_failure::connection_lost:
        return connection_lost{};
    case delivery_failure::no_answer:
        break;
    }
    return no_answer{};
}

exchange_outcome outcome_of(const task_result& result)
{
    return std::visit([](const auto& it) { return exchange_outcome(it); }, result);
}

struct failure_reporter {
    delivery_failure failure;
    event_sink* events;

    void operator()(const forwarded_request& it) const { post_forward_failed(it.correlation); }

    void operator()(const forwarded_cancel& it) const { post_forward_failed(it.correlation); }

    void operator()(const delegated_work& it) const
    {
        events->post(exchange_finished{it.exchange, outcome_of(failure)});
    }

    template <typename Message>
    void operator()(const Message& /*it*/) const
    {
    }

  private:
    void post_forward_failed(correlation_id correlation) const
    {
        events->post(forward_failed{correlation, failure != delivery_failure::not_sent});
    }
};

} // namespace

void report_failure(const peer_message& message, delivery_failure failure, event_sink& events)
{
    std::visit(failure_reporter{failure, &events}, message);
}

outgoing_link::outgoing_link(endpoint address, const channel_context& context,
                             pending_message_index& index, event_sink& events)
    : address_(std::move(address)), context_(context), index_(&index), events_(&events),
      idle_deadline_(steady_now() + context.options->limits.idle_timeout)
{
    auto* socket = new QTcpSocket();
    channel_observer& observer = *this;
    channel_ = std::make_unique<frame_channel>(socket, link_role::initiator, context_, observer);
    socket->connectToHost(QHostAddress(QString::fromStdString(address_.address)), address_.port);
}

outgoing_link::~outgoing_link()
{
    close(close_reason::shutdown);
}

void outgoing_link::send(std::unique_ptr<outgoing_message> message)
{
    if (closed() || !has_capacity_for(*message)) {
        report_failure(message->content, delivery_failure::not_sent, *events_);
        return;
    }
    enqueue(*message.release());
}

bool outgoing_link::has_capacity_for(const outgoing_message& message) const
{
    const peer_limits& limits = context_.options->limits;
    const bool has_queue_space = queued_bytes_ + message.size <= limits.max_queued_bytes;
    const bool is_fetch = std::holds_alternative<configuration_request>(message.content);
    return has_queue_space && pending_count_ < limits.max_pending_messages &&
           !(is_fetch && pending_fetch_ != nullptr);
}

void outgoing_link::enqueue(outgoing_message& message)
{
    message.link = this;
    queued_.push_back(message);
    queued_bytes_ += message.size;
    ++pending_count_;
    idle_deadline_ = steady_now() + context_.options->limits.idle_timeout;
    if (!std::holds_alternative<std::monostate>(message.key)) {
        index_->by_key.insert(message);
    }
    if (message.answer_deadline != no_deadline) {
        index_->by_deadline.insert(message);
    }
    if (std::holds_alternative<configuration_request>(message.content)) {
        pending_fetch_ = &message;
    }
}

void outgoing_link::flush()
{
    const time_point now = steady_now();
    while (channel_->ready() && !queued_.empty() &&
           channel_->unsent_bytes() < max_unsent_socket_bytes) {
        write_next(now);
    }
    if (channel_->ready()) {
        channel_->flush();
    }
}

void outgoing_link::write_next(time_point now)
{
    outgoing_message& message = queued_.front();
    if (message.peer != peer_ || message.send_deadline <= now) {
        fail(message, delivery_failure::not_sent);
        return;
    }
    try {
        channel_->write(message.content, now);
    } catch (const message_error& ex) {
        context_.metrics->count_rejected(ex.id());
        fail(message, delivery_failure::not_sent);
        return;
    }
    if (!expects_answer(message.content)) {
        finish(message);
        return;
    }
    queued_.pop_front();
    queued_bytes_ -= message.size;
    message.written = true;
    written_.push_back(message);
}

void outgoing_link::abandon(outgoing_message& message)
{
    const peer_id peer = message.peer;
    const exchange_id exchange = std::get<exchange_id>(message.key);
    const bool may_have_arrived = message.written;
    finish(message);
    if (may_have_arrived) {
        send(std::make_unique<outgoing_message>(peer, delegation_cancel{exchange}, steady_now(),
                                                context_.options->limits.reply_grace_period));
    }
}

void outgoing_link::expire(outgoing_message& message)
{
    fail(message, message.written ? delivery_failure::no_answer : delivery_failure::not_sent);
}

void outgoing_link::on_tick(time_point now)
{
    channel_->on_tick(now);
    if (pending_count_ == 0 && now >= idle_deadline_) {
        close(close_reason::idle);
    }
}

void outgoing_link::on_ready(const hello& peer)
{
    peer_ = peer.sender;
    flush();
}

void outgoing_link::on_message(const peer_message& message)
{
    std::visit([this](const auto& it) { handle(it); }, message);
}

void outgoing_link::on_closed()
{
    fail_all(written_, delivery_failure::connection_lost);
    fail_all(queued_, delivery_failure::not_sent);
}

void outgoing_link::handle(const forwarded_answer& message)
{
    outgoing_message* request = find_written(message.correlation);
    if (request == nullptr) {
        return;
    }
    events_->post(forward_answered{message.correlation, message.result});
    finish(*request);
}

void outgoing_link::handle(const delegation_answer& message)
{
    outgoing_message* request = find_written(message.exchange);
    if (request == nullptr) {
        return;
    }
    events_->post(exchange_finished{message.exchange, outcome_of(message.result)});
    finish(*request);
}

void outgoing_link::handle(const configuration_reply& message)
{
    if (pending_fetch_ == nullptr || !pending_fetch_->written) {
        return;
    }
    events_->post(configuration_received{message.content, message.origin});
    finish(*pending_fetch_);
}

template <typename Message>
void outgoing_link::handle(const Message& /*message*/)
{
    throw message_error(error_id::malformed_message,
                        "a peer sent a request on a link that it did not open");
}

void outgoing_link::finish(outgoing_message& message)
{
    if (!message.written) {
        queued_bytes_ -= message.size;
    }
    if (pending_fetch_ == &message) {
        pending_fetch_ = nullptr;
    }
    --pending_count_;
    const std::unique_ptr<outgoing_message> removed(&message);
}

void outgoing_link::fail(outgoing_message& message, delivery_failure failure)
{
    report_failure(message.content, failure, *events_);
    finish(message);
}

void outgoing_link::fail_all(outgoing_message_list& messages, delivery_failure failure)
{
    while (!messages.empty()) {
        fail(messages.front(), failure);
    }
}

outgoing_message* outgoing_link::find_written(const reply_key& key)
{
    const auto it = index_->by_key.find(key);
    const bool found = it != index_->by_key.end() && it->link == this && it->written;
    return found ? &*it : nullptr;
}

} // namespace papayafall::detail
