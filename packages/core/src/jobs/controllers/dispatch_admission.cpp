#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/policies/retry_time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace papayafall::jobs {

namespace {

/// Waiting jobs that a decision looks at one by one; those behind them count as a sum.
constexpr std::size_t max_examined_jobs = 256;
/// Time between two reviews of the queues.
constexpr duration queue_review_period = std::chrono::milliseconds(10);

service_capacity capacity_of(const job_board& board, const service_name& service)
{
    const service_capacity* known = board.service_capacities.find(service);
    return known == nullptr ? service_capacity() : *known;
}

/// Whether a queue got too little of the room lately.
bool is_underserved(const job_board& board, const queue_name& queue, time_point now)
{
    const queue_admissions* shares = board.admissions_by_queue.find(queue);
    return shares != nullptr && is_underserved(shares->all_jobs, *board.admissions, now);
}

queue_forecast forecast_queue(const job_board& board, const service_name& service,
                              const service_capacity& capacity, time_point now)
{
    const service_backlog* backlog = board.backlogs.find(service);
    queue_forecast queue{
        .now = now,
        .cpu_millis =
            capacity.ready_cpu_millis > 0 ? capacity.ready_cpu_millis : capacity.total_cpu_millis,
    };
    if (backlog == nullptr) {
        return queue;
    }
    queue.started_work = backlog->started;
    queue.work_beyond = backlog->unstarted;
    const queue_name* checked_queue = nullptr; // jobs of one queue often wait one after the other
    bool queue_underserved = false;
    for (auto it = board.waiting_jobs.lower_bound({.service = service});
         it != board.waiting_jobs.end() && it->key.service == service; ++it) {
        if (queue.jobs.size() == max_examined_jobs) {
            break;
        }
        const waiting_job& job = it->value;
        if (checked_queue == nullptr || *checked_queue != job.queue) {
            checked_queue = &job.queue;
            queue_underserved = is_underserved(board, job.queue, now);
        }
        queue.jobs.push_back(
            {.number = it->key.job,
             .group = it->key.group,
             .start_by = it->key.start_by,
             .work = job.work,
             .cost = job.cost,
             .may_yield = now < job.kept_from && !job.underserved && !queue_underserved});
        queue.work_beyond.microseconds -= job.work.microseconds;
    }
    return queue;
}

/// The step whose tasks need most room together.
const job_step& widest_step(const job_spec_fields& job)
{
    return *std::max_element(job.steps.begin(), job.steps.end(),
                             [](const job_step& a, const job_step& b) {
                                 return a.need.cpu_millis * a.count < b.need.cpu_millis * b.count;
                             });
}

std::string text_of(core_time it)
{
    return std::to_string(it.microseconds);
}

} // namespace

core_time dispatch_controller::expected_work(const job_board& board,
                                             const job_order_fields& order) const
{
    core_time sum;
    for (const job_step& it : order.job->steps) {
        sum.microseconds += expected_run_time(board, order.queue, it).count() * it.need.cpu_millis /
                            1000 * std::int64_t{it.count};
    }
    return sum;
}

job_request dispatch_controller::make_request(const job_board& board, const job_order_fields& order,
                                              time_point now) const
{
    const core_time work = expected_work(board, order);
    // By the declared run time, from which the objective is derived, too. A job that can start at
    // once is not late by its start, whatever its objective.
    const duration run_time = critical_path_duration(*order.job);
    job_request request{
        .job = {.start_by = std::max(admission_->latest_start(order, run_time), now),
                .work = work,
                .cost = cost_->cost(order, work)},
        .room_at = now};
    if (const queue_admissions* shares = board.admissions_by_queue.find(order.queue)) {
        request.underserved =
            is_underserved(board, order.queue, now) ||
            (shares->is_large(work) && is_underserved(shares->large_jobs, shares->all_jobs, now));
    }
    if (order.job->steps.empty()) {
        return request;
    }
    const job_step& step = widest_step(*order.job);
    // Free cores count wherever they lie. If only whole places did, a job of wide tasks would be
    // refused while small tasks go on filling the pieces.
    const std::int64_t free =
        std::max<std::int64_t>(capacity_of(board, order.service).free_cpu_millis, 0);
    const std::int64_t missing =
        std::max<std::int64_t>(step.need.cpu_millis * std::int64_t{step.count} - free, 0);
    request.unplaced_work.microseconds =
        missing / 1000 * expected_run_time(board, order.queue, step).count();
    return request;
}

admission_decision dispatch_controller::admit(job_board& board, const job_order_fields& order,
                                              const job_request& request, time_point now)
{
    const service_capacity capacity = capacity_of(board, order.service);
    if (capacity.total_cpu_millis == 0) {
        board.outbox.post(log_decision{"job_refused",
                                       order.job->id.text(),
                                       {{"reason", to_string(refusal_reason::no_workers)}}});
        return {.reason = refusal_reason::no_workers, .room_at = now};
    }
    const queue_forecast queue = forecast_queue(board, order.service, capacity, now);
    admission_decision decision = admission_->decide(request, queue);
    if (decision.reason != refusal_reason::none) {
        decision.room_at = queue.ends_at();
        record_admission(board, order.queue, request.job.work, false, now);
        board.outbox.post(
            log_decision{"job_refused",
                         order.job->id.text(),
                         {{"reason", to_string(decision.reason)},
                          {"queue", order.queue.text()},
                          {"priority", std::to_string(order.priority)},
                          {"wait_us", std::to_string((decision.expected_start - now).count())},
                          {"left_us", std::to_string((request.job.start_by - now).count())},
                          {"age_us", std::to_string((now - order.received_at).count())},
                          {"work_us", text_of(request.job.work)},
                          {"unplaced_us", text_of(request.unplaced_work)},
                          {"capacity", std::to_string(queue.cpu_millis)},
                          {"waiting", std::to_string(board.waiting_jobs.size())}}});
        return decision;
    }
    for (const job_number it : decision.displaced) {
        const std::string displaced = (*board.jobs.find(it))->order->job->id.text();
        board.outbox.post(log_decision{"job_displaced",
                                       displaced,
                                       {{"by", order.job->id.text()},
                                        {"by_cost", std::to_string(request.job.cost)},
                                        {"by_underserved", request.underserved ? "1" : "0"}}});
        refuse_job(board, it, refusal_reason::displaced, now);
    }
    return decision;
}

void dispatch_controller::add_waiting_job(job_board& board, job_number number,
                                          const job_request& request)
{
    const job_order& order = (*board.jobs.find(number))->order;
    const waiting_job_rank rank{.service = order->service,
                                .group = request.job.group,
                                .start_by = request.job.start_by,
                                .job = number};
    waiting_jobs_.put(rank, {.queue = order->queue,
                             .work = request.job.work,
                             .cost = request.job.cost,
                             .kept_from = admission_->decision_deadline(*order),
                             .underserved = request.underserved});
    waiting_job_ranks_.put(number, rank);
    change_backlog(board, order->service, {}, request.job.work);
}

std::optional<waiting_job> dispatch_controller::remove_waiting_job(job_board& board,
                                                                   job_number number)
{
    const waiting_job_rank* found = board.waiting_job_ranks.find(number);
    if (found == nullptr) {
        return std::nullopt;
    }
    const waiting_job_rank rank = *found;
    const waiting_job removed = *board.waiting_jobs.find(rank);
    waiting_jobs_.erase(rank);
    waiting_job_ranks_.erase(number);
    change_backlog(board, rank.service, {}, {-removed.work.microseconds});
    return removed;
}

void dispatch_controller::change_backlog(job_board& board, const service_name& service,
                                         core_time started, core_time unstarted)
{
    const service_backlog* known = board.backlogs.find(service);
    service_backlog backlog = known == nullptr ? service_backlog() : *known;
    backlog.started.microseconds += started.microseconds;
    backlog.unstarted.microseconds += unstarted.microseconds;
    if (backlog == service_backlog()) {
        backlogs_.erase(service);
        return;
    }
    backlogs_.put(service, backlog);
}

void dispatch_controller::review_queues(job_board& board, time_point now)
{
    if (now < *board.queue_review_due) {
        return;
    }
    queue_review_due_.put(now + queue_review_period);
    std::vector<service_name> services;
    for (const auto& it : board.backlogs) {
        if (it.value.unstarted.microseconds > 0) {
            services.push_back(it.key);
        }
    }
    for (const service_name& it : services) {
        review_queue(board, it, now);
    }
}

void dispatch_controller::review_queue(job_board& board, const service_name& service,
                                       time_point now)
{
    const service_capacity capacity = capacity_of(board, service);
    if (capacity.total_cpu_millis == 0) {
        return; // see end_jobs_without_workers
    }
    const queue_forecast queue = forecast_queue(board, service, capacity, now);
    for (const job_number it : admission_->excess_jobs(queue)) {
        refuse_job(board, it, refusal_reason::objective_missed, now);
    }
}

void dispatch_controller::refuse_job(job_board& board, job_number number, refusal_reason reason,
                                     time_point now)
{
    const job_order order = (*board.jobs.find(number))->order;
    const waiting_job_rank rank = *board.waiting_job_ranks.find(number);
    const waiting_job waiting = *board.waiting_jobs.find(rank);
    const time_point room_at =
        forecast_queue(board, order->service, capacity_of(board, order->service), now).ends_at();
    board.outbox.post(log_decision{"job_refused",
                                   order->job->id.text(),
                                   {{"reason", to_string(reason)},
                                    {"queue", order->queue.text()},
                                    {"priority", std::to_string(order->priority)},
                                    {"left_us", std::to_string((rank.start_by - now).count())},
                                    {"age_us", std::to_string((now - order->received_at).count())},
                                    {"work_us", text_of(waiting.work)},
                                    {"cost", std::to_string(waiting.cost)},
                                    {"waiting", std::to_string(board.waiting_jobs.size())}}});
    record_admission(board, order->queue, waiting.work, false, now);
    finish_job(board, number, job_outcome::refused, now,
               {reason, retry_time(order->job->id, room_at, now)});
}

void dispatch_controller::record_admission(job_board& board, const queue_name& queue,
                                           core_time work, bool started, time_point now)
{
    admissions_.put(board.admissions->with(work, started, now));
    const queue_admissions* known = board.admissions_by_queue.find(queue);
    const queue_admissions shares = known == nullptr ? queue_admissions() : *known;
    admissions_by_queue_.put(queue, shares.with(work, started, now));
}

} // namespace papayafall::jobs
