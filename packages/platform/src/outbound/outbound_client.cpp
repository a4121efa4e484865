#include "papayafall/platform/outbound/outbound_client.hpp"

#include "outbound_call.hpp"

#include "papayafall/platform/http/http_message.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace papayafall {

namespace {

/// Minimum time between two deadline checks.
constexpr std::chrono::milliseconds min_timer_interval{1};

const char* method_name(outbound_method it) noexcept
{
    switch (it) {
    case outbound_method::get:
        return "GET";
    case outbound_method::remove:
        return "DELETE";
    case outbound_method::post:
        break;
    }
    return "POST";
}

std::string encode(const outbound_request_fields& request)
{
    http_request_message message{.method = method_name(request.method),
                                 .target = request.path,
                                 .content_type = "application/octet-stream",
                                 .keep_alive = !request.new_connection};
    for (const outbound_header& it : request.headers) {
        message.headers.emplace_back(it.name, it.value);
    }
    if (request.method == outbound_method::post) {
        message.body = request.body.view();
    }
    const endpoint& server = request.server;
    return encode_request(message, server.address + ":" + std::to_string(server.port));
}

outbound_response make_response(const http_reply_message& reply)
{
    outbound_response_fields fields{.status = reply.status, .body = bytes(reply.body)};
    for (const auto& [name, text] : reply.headers) {
        fields.headers.push_back(outbound_header{.name = name, .value = text});
    }
    return {std::move(fields)};
}

outbound_outcome make_outcome(const detail::outbound_call& call, exchange_end end,
                              const http_reply_message& reply)
{
    switch (end) {
    case exchange_end::response:
        return make_response(reply);
    case exchange_end::too_large:
        return outbound_failure::answer_too_large;
    case exchange_end::malformed:
        return outbound_failure::answer_malformed;
    case exchange_end::refused:
    case exchange_end::lost:
        break;
    }
    return call.connection->is_sent() ? outbound_failure::connection_lost
                                      : outbound_failure::not_sent;
}

} // namespace

outbound_client::outbound_client(const outbound_options& options, const clock_source& clock,
                                 outbound_observer& observer)
    : options_(options), clock_(&clock), observer_(&observer),
      idle_(std::make_unique<detail::idle_connections>(options.max_idle_time)),
      calls_(std::make_unique<detail::outbound_call_table>())
{
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &outbound_client::on_timeout);
}

outbound_client::~outbound_client()
{
    while (const detail::outbound_call_ptr call = calls_->first()) {
        call->connection->close();
        calls_->erase(*call);
    }
}

void outbound_client::send(outbound_call_id call, const outbound_request& request)
{
    const time_point started_at = now();
    const time_point connected_by = started_at + options_.connect_timeout;
    detail::outbound_connection_ptr connection;
    if (!request->new_connection) {
        connection = idle_->take(request->server, started_at);
    }
    if (!connection) {
        connection = new detail::outbound_connection(request->server,
                                                     {.body_bytes = options_.max_response_bytes});
        ++connections_opened_;
    }
    const detail::outbound_call_ptr it(new detail::outbound_call(
        call, request, connection, started_at, std::min(connected_by, request->deadline)));
    calls_->insert(it);
    connection->send(encode(*request), request->deadline,
                     [this, call](exchange_end end, const http_reply_message& reply) {
                         on_exchange_ended(call, end, reply);
                     });
    schedule();
}

void outbound_client::abandon(outbound_call_id call)
{
    const detail::outbound_call_ptr it = calls_->find(call);
    if (it) {
        give_up(*it, outbound_failure::connection_lost);
    }
}

std::size_t outbound_client::in_progress() const noexcept
{
    return calls_->size();
}

outbound_counters outbound_client::counters() const noexcept
{
    return {.connections_opened = connections_opened_, .connections_renewed = connections_renewed_};
}

void outbound_client::on_exchange_ended(outbound_call_id call, exchange_end end,
                                        const http_reply_message& reply)
{
    const detail::outbound_call_ptr it = calls_->find(call);
    if (!it) {
        return;
    }
    const outbound_outcome outcome = make_outcome(*it, end, reply);
    if (it->request->new_connection) {
        it->connection->close();
    } else if (!it->connection->is_closed()) {
        idle_->put(it->connection, now());
    }
    finish(*it, outcome);
}

void outbound_client::on_timeout()
{
    const time_point checked_at = now();
    idle_->close_expired(checked_at);
    for (auto it = calls_->first_to_check(); it && it->next_check_at <= checked_at;
         it = calls_->first_to_check()) {
        if (it->request->deadline > checked_at && it->connection->is_sent()) {
            calls_->postpone(*it, it->request->deadline);
            continue;
        }
        idle_->discard(it->request->server, it->sent_at);
        ++connections_renewed_;
        give_up(*it, outbound_failure::no_answer);
    }
    schedule();
}

void outbound_client::give_up(detail::outbound_call& call, outbound_failure reason)
{
    call.connection->close();
    finish(call, call.connection->is_sent() ? reason : outbound_failure::not_sent);
}

void outbound_client::finish(detail::outbound_call& call, const outbound_outcome& outcome)
{
    const detail::outbound_call_ptr keep_alive(&call);
    calls_->erase(call);
    schedule();
    observer_->on_finished(call.id, outcome);
}

void outbound_client::schedule()
{
    const detail::outbound_call_ptr first = calls_->first_to_check();
    const time_point due_at =
        std::min(first ? first->next_check_at : no_deadline, idle_->next_expiry());
    if (due_at == no_deadline) {
        timer_.stop();
        return;
    }
    if (timer_.isActive() && timer_due_at_ <= due_at) {
        return;
    }
    timer_due_at_ = due_at;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due_at - now());
    timer_.start(std::max(wait, min_timer_interval));
}

} // namespace papayafall
