#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "log_text.hpp"

#include "papayafall/core/jobs/controllers/cancellation_controller.hpp"
#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"
#include "papayafall/core/jobs/policies/retry_time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace papayafall::jobs {

namespace {

/// Number of waiting tasks that are offered to workers in one tick.
constexpr std::size_t max_offered_tasks = 96;
/// Number of tasks without a suitable worker after which the tick starts no more.
constexpr std::size_t max_unplaced_tasks = 16;

/// Time between two reviews of a running job whose answer is no longer useful.
constexpr duration late_job_review_period = std::chrono::milliseconds(500);

/// Whether too many workers crashed under one of the job's tasks.
bool is_given_up(const job_board& board, const job_id& job)
{
    for (auto it = board.task_crashes.lower_bound({.job = job});
         it != board.task_crashes.end() && it->key.job == job; ++it) {
        if (it->value >= max_task_crashes) {
            return true;
        }
    }
    return false;
}

/// Work of one task of the step.
core_time declared_work(const job_step& it)
{
    return {it.estimated_run_time.count() * it.need.cpu_millis / 1000};
}

void log_job_end(job_board& board, const job_state_fields& job, job_outcome outcome, time_point now)
{
    const job_order_fields& order = *job.order;
    const time_point started_at = job.started ? job.started_at : now;
    board.outbox.post(log_decision{
        "job_over",
        order.job->id.text(),
        {{"outcome", to_string(outcome)},
         {"queue", order.queue.text()},
         {"version", std::to_string(order.configuration_version)},
         {"waited_ms", milliseconds_of(started_at - order.received_at)},
         {"expected_wait_ms", milliseconds_of(job.expected_start - order.received_at)},
         {"ran_ms", milliseconds_of(now - started_at)},
         {"runs", std::to_string(job.starts_sent)},
         {"objective_ms", milliseconds_of(order.objective_deadline - order.received_at)}}});
}

/// Whether the job's service has workers in evacuated zones and none that may get its tasks.
bool has_only_evacuated_workers(const job_board& board, const job_state_fields& job, time_point now)
{
    bool evacuated = false;
    for (const auto& it : board.sessions) {
        const worker* entry = current_entry(board, it.key, it.value);
        if (entry == nullptr || (*entry)->service != job.order->service) {
            continue;
        }
        if (accepts_tasks_of(board, **entry, job, now)) {
            return false;
        }
        evacuated = evacuated || is_evacuated(board, (*entry)->zone);
    }
    return evacuated;
}

} // namespace

dispatch_controller::dispatch_controller(job_board& board,
                                         std::shared_ptr<const placement_policy> placement,
                                         std::shared_ptr<const job_admission_policy> admission,
                                         std::shared_ptr<const job_cost_policy> cost)
    : placement_(std::move(placement)), admission_(std::move(admission)), cost_(std::move(cost)),
      last_job_number_(board.last_job_number.claim()), jobs_(board.jobs.claim()),
      jobs_by_id_(board.jobs_by_id.claim()), jobs_by_origin_(board.jobs_by_origin.claim()),
      tasks_(board.tasks.claim()), waiting_tasks_(board.waiting_tasks.claim()),
      waiting_ranks_(board.waiting_ranks.claim()), runs_(board.runs.claim()),
      refused_stops_(board.refused_stops.claim()), runs_by_worker_(board.runs_by_worker.claim()),
      worker_loads_(board.worker_loads.claim()), trials_(board.trials.claim()),
      reserved_worker_(board.reserved_worker.claim()),
      run_time_statistics_(board.run_time_statistics.claim()),
      queued_work_(board.queued_work.claim()), recent_demands_(board.recent_demands.claim()),
      reserved_place_(board.reserved_place.claim()), waiting_jobs_(board.waiting_jobs.claim()),
      waiting_job_ranks_(board.waiting_job_ranks.claim()), backlogs_(board.backlogs.claim()),
      queue_review_due_(board.queue_review_due.claim()),
      admissions_by_queue_(board.admissions_by_queue.claim()), admissions_(board.admissions.claim())
{
}

void dispatch_controller::on_event(job_board& board, const job_event& incoming,
                                   const clock_reading& now)
{
    if (const auto* it = std::get_if<report_received>(&incoming)) {
        reconcile_runs(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<run_finished>(&incoming)) {
        // A resubmitted job uses the same run ids, possibly on other workers.
        if (const run_state* run = board.runs.find(it->run);
            run != nullptr && run->worker == it->worker) {
            end_run(board, it->run, it->outcome, now.steady);
        }
    }
    if (const auto* it = std::get_if<start_answered>(&incoming)) {
        on_start_answered(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<stop_answered>(&incoming)) {
        on_stop_answered(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<delegation_received>(&incoming)) {
        accept_job(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<delegation_withdrawn>(&incoming)) {
        cancel_job(board, it->origin, now.steady);
    }
    if (const auto* it = std::get_if<job_cancelled>(&incoming)) {
        cancel_job(board, it->job, now.steady);
    }
    if (const auto* it = std::get_if<delegator_lost>(&incoming)) {
        interrupt_jobs_of_link(board, it->link, now.steady);
    }
    if (const auto* it = std::get_if<worker_ownership_lost>(&incoming)) {
        interrupt_jobs_on_worker(board, it->worker, now.steady);
    }
    if (const auto* it = std::get_if<worker_runs_terminated>(&incoming)) {
        end_terminated_runs(board, *it, now.steady);
    } else if (const auto* counted = std::get_if<task_crashes_counted>(&incoming)) {
        review_crashed_task(board, counted->task, now.steady);
    } else if (std::holds_alternative<process_resumed>(incoming) ||
               std::holds_alternative<process_stopping>(incoming)) {
        interrupt_all_jobs(board, now.steady);
    }
}

void dispatch_controller::on_tick(job_board& board, const clock_reading& now)
{
    repeat_due_stops(board, now.steady);
    review_queues(board, now.steady);
    start_waiting_tasks(board, now.steady);
    review_due_jobs(board, now.steady);
    end_jobs_in_evacuated_zones(board, now.steady);
    if (board.sessions.empty() && !board.jobs.empty()) {
        end_jobs_without_workers(board, now.steady);
    }
}

void dispatch_controller::accept_job(job_board& board, const delegation_received& received,
                                     time_point now)
{
    job_order order = received.order;
    if (is_cancelled(board, order->job->id)) {
        board.outbox.post(log_decision{"job_refused",
                                       order->job->id.text(),
                                       {{"reason", to_string(refusal_reason::cancelled)}}});
        board.raised.post(job_finished{received.origin, job_outcome::cancelled});
        return;
    }
    const queue_configuration_fields& configuration = **board.configuration;
    if (configuration.version > order->configuration_version) {
        const queue_definition* queue = configuration.find(order->queue);
        if (queue == nullptr) {
            board.raised.post(job_finished{received.origin, job_outcome::unknown_queue});
            return;
        }
        order = order.with([&](job_order_fields& it) {
            it.service = queue->service;
            it.configuration_version = configuration.version;
        });
    }
    if (is_given_up(board, order->job->id)) {
        board.outbox.post(
            log_decision{"job_refused", order->job->id.text(), {{"reason", "crashed_workers"}}});
        board.raised.post(job_finished{received.origin, job_outcome::failed});
        return;
    }
    const job_request request = make_request(board, *order, now);
    const admission_decision decision = admit(board, *order, request, now);
    if (decision.reason != refusal_reason::none) {
        board.raised.post(job_finished{
            received.origin, job_outcome::refused,
            job_refusal{decision.reason, retry_time(order->job->id, decision.room_at, now)}});
        return;
    }
    if (const job_number* previous_number = board.jobs_by_id.find(order->job->id)) {
        finish_job(board, *previous_number, job_outcome::interrupted, now);
    }
    const job_number number = board.last_job_number->next();
    last_job_number_.put(number);
    job_state_fields job{
        .order = order, .origin = received.origin, .expected_start = decision.expected_start};
    for (const job_step& it : order->job->steps) {
        job.unfinished_tasks.push_back(it.count);
    }
    const bool has_no_tasks = std::all_of(job.unfinished_tasks.begin(), job.unfinished_tasks.end(),
                                          [](std::uint32_t n) { return n == 0; });
    if (has_no_tasks) {
        board.raised.post(job_finished{received.origin, job_outcome::succeeded});
        return;
    }
    jobs_.put(number, job, admission_->decision_deadline(*order));
    jobs_by_id_.put(order->job->id, number);
    jobs_by_origin_.put(received.origin, number);
    add_waiting_job(board, number, request);
    for (std::uint32_t n = 0; n < order->job->steps.size(); ++n) {
        if (order->job->steps[n].predecessors.empty()) {
            enqueue_step(board, number, n);
        }
    }
}

void dispatch_controller::finish_job(job_board& board, job_number number, job_outcome outcome,
                                     time_point now, const job_refusal& refusal)
{
    const job_state* found = board.jobs.find(number);
    if (found == nullptr || (*found)->closing) {
        return;
    }
    const job_state job = *found;
    log_job_end(board, *job, outcome, now);
    board.raised.post(job_finished{job->origin, outcome, refusal});
    remove_waiting_job(board, number);
    jobs_by_origin_.erase(job->origin);
    if (const job_number* current = board.jobs_by_id.find(job->order->job->id);
        current != nullptr && *current == number) {
        jobs_by_id_.erase(job->order->job->id);
    }
    std::vector<task_ref> waiting;
    for (auto it = board.waiting_ranks.lower_bound({.job = number});
         it != board.waiting_ranks.end() && it->key.job == number; ++it) {
        waiting.push_back(it->key);
    }
    for (const task_ref& it : waiting) {
        dequeue_task(board, it);
    }
    update_job(board, number, now, [](job_state_fields& it) { it.closing = true; });
    std::vector<run_id> active_runs;
    for (auto it = board.runs.lower_bound({.job = job->order->job->id});
         it != board.runs.end() && it->key.job == job->order->job->id; ++it) {
        if (it->value.task.job == number) {
            active_runs.push_back(it->key);
        }
    }
    for (const run_id& it : active_runs) {
        request_stop(board, it, now);
    }
    if (active_runs.empty()) {
        erase_job(board, number);
    }
}

void dispatch_controller::update_job(job_board& board, job_number number, time_point now,
                                     const std::function<void(job_state_fields&)>& change)
{
    const job_state job = board.jobs.find(number)->with(change);
    const time_point expires_at = job->order->expires_at;
    const time_point review_at = now < expires_at ? expires_at : now + late_job_review_period;
    jobs_.put(number, job, job->closing ? no_deadline : review_at);
}

void dispatch_controller::erase_job(job_board& board, job_number number)
{
    std::vector<task_ref> known;
    for (auto it = board.tasks.lower_bound({.job = number});
         it != board.tasks.end() && it->key.job == number; ++it) {
        known.push_back(it->key);
    }
    for (const task_ref& it : known) {
        tasks_.erase(it);
    }
    jobs_.erase(number);
}

void dispatch_controller::cancel_job(job_board& board, const job_origin& origin, time_point now)
{
    if (const job_number* found = board.jobs_by_origin.find(origin)) {
        finish_job(board, job_number(*found), job_outcome::cancelled, now);
    }
}

void dispatch_controller::cancel_job(job_board& board, const job_id& job, time_point now)
{
    if (const job_number* found = board.jobs_by_id.find(job)) {
        finish_job(board, job_number(*found), job_outcome::cancelled, now);
    }
}

void dispatch_controller::interrupt_jobs_of_link(job_board& board, link_number link, time_point now)
{
    std::vector<job_number> lost;
    for (auto it = board.jobs_by_origin.lower_bound({.link = link});
         it != board.jobs_by_origin.end() && it->key.link == link; ++it) {
        lost.push_back(it->value);
    }
    for (const job_number it : lost) {
        board.outbox.post(log_decision{"job_orphaned",
                                       (*board.jobs.find(it))->order->job->id.text(),
                                       {{"link", std::to_string(link.value())}}});
        finish_job(board, it, job_outcome::interrupted, now);
    }
}

void dispatch_controller::interrupt_all_jobs(job_board& board, time_point now)
{
    std::vector<job_number> all;
    for (const auto& it : board.jobs) {
        all.push_back(it.key);
    }
    for (const job_number it : all) {
        finish_job(board, it, job_outcome::interrupted, now);
    }
}

void dispatch_controller::end_jobs_without_workers(job_board& board, time_point now)
{
    std::vector<job_number> idle;
    for (const auto& it : board.jobs) {
        const job_order_fields& order = *it.value->order;
        const bool undecided = !it.value->started && now < admission_->decision_deadline(order);
        if (!it.value->closing && it.value->active_runs == 0 && !undecided) {
            idle.push_back(it.key);
        }
    }
    for (const job_number it : idle) {
        if ((*board.jobs.find(it))->started) {
            finish_job(board, it, job_outcome::interrupted, now);
            continue;
        }
        refuse_job(board, it, refusal_reason::no_workers, now);
    }
}

void dispatch_controller::end_jobs_in_evacuated_zones(job_board& board, time_point now)
{
    const bool evacuating = std::any_of(board.evacuations.begin(), board.evacuations.end(),
                                        [](const auto& it) { return !it.value.request.ended; });
    if (!evacuating || board.waiting_ranks.empty()) {
        return;
    }
    std::set<job_number> ended;
    for (const auto& it : board.waiting_ranks) {
        const job_state& job = *board.jobs.find(it.key.job);
        if (!ended.contains(it.key.job) && has_only_evacuated_workers(board, *job, now)) {
            ended.insert(it.key.job);
        }
    }
    for (const job_number it : ended) {
        const bool started = (*board.jobs.find(it))->started;
        finish_job(board, it, started ? job_outcome::interrupted : job_outcome::refused, now);
    }
}

void dispatch_controller::review_due_jobs(job_board& board, time_point now)
{
    while (const auto due = board.jobs.expired(now)) {
        const job_state job = *board.jobs.find(*due);
        if (!job->started) {
            review_unstarted_job(board, *due, now);
            continue;
        }
        if (job->active_runs > 0) {
            update_job(board, *due, now, [](job_state_fields&) {});
            continue;
        }
        finish_job(board, *due, job_outcome::interrupted, now);
    }
}

void dispatch_controller::review_unstarted_job(job_board& board, job_number number, time_point now)
{
    const job_state job = *board.jobs.find(number);
    const job_order_fields& order = *job->order;
    if (is_given_up(board, order.job->id)) {
        finish_job(board, number, job_outcome::failed, now);
        return;
    }
    const time_point give_up_at = admission_->give_up_at(order, critical_path_duration(*order.job));
    if (now >= give_up_at) {
        const bool expired = now >= order.expires_at;
        refuse_job(board, number,
                   expired ? refusal_reason::expired : refusal_reason::objective_missed, now);
        return;
    }
    review_queue(board, order.service, now);
    if (board.jobs.contains(number)) {
        jobs_.put(number, job, give_up_at);
    }
}

void dispatch_controller::enqueue_step(job_board& board, job_number number, std::uint32_t step)
{
    const job_step& added = (*board.jobs.find(number))->order->job->steps[step];
    recent_demands_.put(board.recent_demands->with(added.need.cpu_millis));
    for (std::uint32_t n = 0, count = added.count; n < count; ++n) {
        const task_ref task{.job = number, .step = step, .index = n};
        tasks_.put(task, {});
        enqueue_task(board, task);
    }
}

void dispatch_controller::enqueue_task(job_board& board, const task_ref& task)
{
    const job_state job = *board.jobs.find(task.job);
    const job_step& step = job->order->job->steps[task.step];
    const waiting_rank rank{
        .group = job->started ? waiting_group::started : unstarted_group_of(*job->order),
        .start_by = admission_->latest_start(*job->order,
                                             expected_run_time(board, job->order->queue, step)),
        .task = task,
    };
    waiting_tasks_.put(rank, task);
    waiting_ranks_.put(task, rank);
    const core_time work = declared_work(step);
    queued_work_.put({board.queued_work->microseconds + work.microseconds});
    if (rank.group == waiting_group::started) {
        change_backlog(board, job->order->service, work, {});
    }
}

void dispatch_controller::dequeue_task(job_board& board, const task_ref& task)
{
    const waiting_rank rank = *board.waiting_ranks.find(task);
    const job_order& order = (*board.jobs.find(task.job))->order;
    const core_time work = declared_work(order->job->steps[task.step]);
    waiting_tasks_.erase(rank);
    waiting_ranks_.erase(task);
    queued_work_.put({board.queued_work->microseconds - work.microseconds});
    if (rank.group == waiting_group::started) {
        change_backlog(board, order->service, {-work.microseconds}, {});
    }
}

void dispatch_controller::promote_tasks(job_board& board, job_number number)
{
    std::vector<task_ref> waiting;
    for (auto it = board.waiting_ranks.lower_bound({.job = number});
         it != board.waiting_ranks.end() && it->key.job == number; ++it) {
        waiting.push_back(it->key);
    }
    for (const task_ref& it : waiting) {
        dequeue_task(board, it);
        enqueue_task(board, it);
    }
}

void dispatch_controller::start_waiting_tasks(job_board& board, time_point now)
{
    std::vector<task_ref> offered;
    for (const auto& it : board.waiting_tasks) {
        if (offered.size() == max_offered_tasks) {
            break;
        }
        offered.push_back(it.value);
    }
    std::size_t unplaced = 0;
    bool reservation_needed = false;
    const place_reservation previous = *board.reserved_place;
    reserved_place_.put({});
    for (const task_ref& it : offered) {
        if (unplaced == max_unplaced_tasks) {
            return;
        }
        if (start_task(board, it, now) != start_attempt::no_room) {
            continue;
        }
        if (!needs_trial(board, it)) {
            ++unplaced;
            if (unplaced == 1) {
                reserve_place(board, it, previous, now);
            }
        } else if (!reservation_needed && trial_allowed(board, it)) {
            reservation_needed = true;
            reserve_worker(board, it);
        }
    }
    if (!reservation_needed) {
        reserved_worker_.put({});
    }
}

} // namespace papayafall::jobs
