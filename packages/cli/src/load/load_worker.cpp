#include "load_worker.hpp"

#include "load_key.hpp"
#include "papayafall/cli/load/load_protocol.hpp"

#include <algorithm>
#include <utility>

namespace papayafall::detail {

namespace {

/// Time after its time limit for which an answer is still waited for.
constexpr std::chrono::seconds answer_grace{2};

std::size_t host_of(const planned_step& step)
{
    switch (step.sending) {
    case load_sending::again:
        return step.request->again->host;
    case load_sending::cancel:
        return step.request->cancel->host;
    case load_sending::first:
        break;
    }
    return step.request->first.host;
}

} // namespace

load_worker::load_worker(const load_plan& plan, std::vector<planned_step> steps,
                         const clock_reading& begin, const clock_source& clock,
                         std::function<void()> on_done)
    : plan_(plan), steps_(std::move(steps)), begin_(begin), clock_(&clock),
      on_done_(std::move(on_done)), client_({}, clock, *this), lags_(steps_.size())
{
    samples_.reserve(steps_.size());
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &load_worker::send_due);
    timer_.start(0);
}

void load_worker::send_due()
{
    const time_point now = clock_->read().steady;
    while (next_ < steps_.size() && begin_.steady + steps_.at(next_).at <= now) {
        send(next_);
        ++next_;
    }
    wait_for_next();
}

void load_worker::send(std::size_t index)
{
    const planned_step& step = steps_.at(index);
    const planned_request& request = step.request;
    const auto first_at = std::chrono::floor<std::chrono::milliseconds>(request->first.at);
    const std::string key =
        request->keyed ? make_load_key(plan_.run, request->number, begin_.wall + first_at) : "";
    const time_point planned_at = begin_.steady + step.at;
    const time_point gives_up_at = planned_at + request->time_limit + answer_grace;
    lags_.at(index) = clock_->read().steady - planned_at;
    client_.send(outbound_call_id(index),
                 encode_load_request(request, step.sending, plan_, plan_.hosts.at(host_of(step)),
                                     key, gives_up_at));
}

void load_worker::on_finished(outbound_call_id call, const outbound_outcome& outcome)
{
    const std::size_t index = call.value();
    const planned_step& step = steps_.at(index);
    const duration response = clock_->read().steady - (begin_.steady + step.at);
    samples_.push_back(load_sample{
        .request = step.request,
        .sending = step.sending,
        .outcome = judge_load_answer(step.request, step.sending, outcome, response),
        .response = response,
        .send_lag = lags_.at(index),
    });
    if (samples_.size() == steps_.size()) {
        on_done_();
    }
}

void load_worker::wait_for_next()
{
    if (next_ == steps_.size()) {
        return;
    }
    const duration wait = begin_.steady + steps_.at(next_).at - clock_->read().steady;
    timer_.start(
        std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), std::chrono::milliseconds(0)));
}

} // namespace papayafall::detail
