#include "load_sender.hpp"

#include "idempotency_key.hpp"
#include "papayafall/cli/load/load_protocol.hpp"

#include <algorithm>
#include <utility>

namespace papayafall::detail {

namespace {

/// Time beyond the time limit of a request for which its answer is still awaited.
constexpr std::chrono::seconds answer_grace_period{2};

std::size_t host_index_of(const scheduled_send& scheduled)
{
    switch (scheduled.kind) {
    case load_send_kind::resubmission:
        return scheduled.request->resubmission->host_index;
    case load_send_kind::cancellation:
        return scheduled.request->cancellation->host_index;
    case load_send_kind::first:
        break;
    }
    return scheduled.request->first_send.host_index;
}

} // namespace

load_sender::load_sender(const load_plan& plan, std::vector<scheduled_send> sends,
                         const clock_reading& run_start, const clock_source& clock,
                         std::function<void()> on_done)
    : plan_(plan), sends_(std::move(sends)), run_start_(run_start), clock_(&clock),
      on_done_(std::move(on_done)), client_({}, clock, *this), send_lags_(sends_.size())
{
    samples_.reserve(sends_.size());
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &load_sender::send_due_requests);
    timer_.start(0);
}

void load_sender::send_due_requests()
{
    const time_point now = clock_->read().steady;
    while (next_send_ < sends_.size() && run_start_.steady + sends_.at(next_send_).offset <= now) {
        send(next_send_);
        ++next_send_;
    }
    schedule_next_send();
}

void load_sender::send(std::size_t index)
{
    const scheduled_send& scheduled = sends_.at(index);
    const planned_request& request = scheduled.request;
    const auto first_send_offset =
        std::chrono::floor<std::chrono::milliseconds>(request->first_send.offset);
    const std::string key = request->keyed
                                ? make_idempotency_key(plan_.run_name, request->number,
                                                       run_start_.wall + first_send_offset)
                                : "";
    const time_point planned_at = run_start_.steady + scheduled.offset;
    const time_point answer_deadline = planned_at + request->time_limit + answer_grace_period;
    send_lags_.at(index) = clock_->read().steady - planned_at;
    client_.send(outbound_call_id(index),
                 encode_load_request(request, scheduled.kind, plan_,
                                     plan_.hosts.at(host_index_of(scheduled)), key,
                                     answer_deadline));
}

void load_sender::on_finished(outbound_call_id call, const outbound_outcome& outcome)
{
    const std::size_t index = call.value();
    const scheduled_send& scheduled = sends_.at(index);
    const duration response_time = clock_->read().steady - (run_start_.steady + scheduled.offset);
    samples_.push_back(load_sample{
        .request = scheduled.request,
        .kind = scheduled.kind,
        .outcome = classify_load_answer(scheduled.request, scheduled.kind, outcome, response_time),
        .response_time = response_time,
        .send_lag = send_lags_.at(index),
    });
    if (samples_.size() == sends_.size()) {
        on_done_();
    }
}

void load_sender::schedule_next_send()
{
    if (next_send_ == sends_.size()) {
        return;
    }
    const duration wait = run_start_.steady + sends_.at(next_send_).offset - clock_->read().steady;
    timer_.start(
        std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), std::chrono::milliseconds(0)));
}

} // namespace papayafall::detail
