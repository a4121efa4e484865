#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"
#include "papayafall/core/jobs/state/worker_lease.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

/// Time that a worker has to answer a start or a stop before the call counts as unanswered.
constexpr duration run_call_timeout = milliseconds(200);
/// Time between a stop that was not accepted and the next one.
constexpr duration stop_retry_delay = milliseconds(25);
/// Time without progress after which a run counts as stalled.
constexpr milliseconds stall_timeout{220};
/// Progress from which a run is expected to end soon and does not count as stalled.
constexpr std::uint32_t nearly_done_percent = 98;
/// Increment of a task's run number when the worker knows a higher one.
constexpr std::uint64_t run_number_step = 16;

/// Runs on a worker that are not known to have ended.
std::vector<run_id> runs_on_worker(const job_board& board, const worker_id& id)
{
    std::vector<run_id> found;
    for (auto it = board.runs_by_worker.lower_bound({.worker = id});
         it != board.runs_by_worker.end() && it->key.worker == id; ++it) {
        found.push_back(it->key.run);
    }
    return found;
}

/// Whether the worker's process is another than the one that the run was sent to.
/// @param started_at_ms start of the process; 0: unknown
bool has_restarted(const run_state& run, std::int64_t started_at_ms)
{
    return run.worker_started_at_ms != 0 && started_at_ms > run.worker_started_at_ms;
}

} // namespace

start_attempt dispatch_controller::start_task(job_board& board, const task_ref& task,
                                              time_point now)
{
    if (!board.waiting_ranks.contains(task)) {
        return start_attempt::settled;
    }
    const job_state job = *board.jobs.find(task.job);
    const job_order_fields& order = *job->order;
    task_state state = *board.tasks.find(task);
    run_id id{.job = order.job->id, .step = task.step, .task = task.index};
    const auto previous_run = board.runs.lower_bound(id);
    if (previous_run != board.runs.end() && previous_run->key.job == id.job &&
        previous_run->key.step == id.step && previous_run->key.task == id.task) {
        return start_attempt::settled; // a run of the same task, of an earlier submission, has not
                                       // ended yet
    }
    const bool trial = needs_trial(board, task);
    if (trial && !trial_allowed(board, task)) {
        return start_attempt::no_room;
    }
    const std::vector<placement_candidate> candidates = candidates_for(board, task, *job, now);
    if (candidates.empty()) {
        return start_attempt::no_room;
    }
    const job_step& step = order.job->steps[task.step];
    const std::optional<std::size_t> choice =
        placement_->choose(placement_demand_of(board, task, now), candidates);
    if (!choice) {
        return start_attempt::awaits_faster_worker;
    }
    const placement_candidate& chosen = candidates[*choice];
    const worker_id chosen_worker = chosen.entry->id;
    const worker_session& session = *board.sessions.find(chosen_worker);
    const lease_request lease = request_lease(session, lease_length(board.parameters), now);
    id.number = ++state.last_run_number;
    tasks_.put(task, state);
    dequeue_task(board, task);
    const run_state run{.task = task,
                        .worker = chosen_worker,
                        .need = step.need,
                        .worker_started_at_ms = session.started_at_ms,
                        .start_sent_at = now,
                        .expected_end = now + chosen.expected_run_time,
                        .progress_at = latest_worker_time(session, now)};
    put_run(id, run);
    if (trial) {
        trials_.put(chosen_worker, task);
    }
    update_worker_load(board, run, true);
    update_job(board, task.job, now, [now](job_state_fields& it) {
        it.started_at = it.started ? it.started_at : now;
        it.started = true;
        ++it.starts_sent;
        ++it.active_runs;
    });
    if (const auto admitted = remove_waiting_job(board, task.job)) {
        record_admission(board, order.queue, admitted->work, true, now);
        promote_tasks(board, task.job);
    }
    board.outbox.post(start_run{.to = worker_address_of(board, chosen_worker, session),
                                .run = id,
                                .payload = order.job->payload,
                                .worker_started_at_ms = session.started_at_ms,
                                .lease_until = lease.until,
                                .timeout_at = now + run_call_timeout});
    board.raised.post(lease_extended{chosen_worker, lease.lease_expired_by});
    return start_attempt::settled;
}

void dispatch_controller::on_start_answered(job_board& board, const start_answered& answered,
                                            time_point now)
{
    const run_state* found = board.runs.find(answered.run);
    if (found == nullptr || found->worker != answered.worker) {
        return;
    }
    run_state run = *found;
    if (answered.result == start_result::accepted) {
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::running;
        }
        run.confirmed_at = now;
        put_run(answered.run, run);
        return;
    }
    board.outbox.post(log_decision{"start_not_accepted",
                                   answered.run.job.text(),
                                   {{"worker", answered.worker.text()},
                                    {"task", std::to_string(answered.run.task)},
                                    {"run", std::to_string(answered.run.number)},
                                    {"result", to_string(answered.result)}}});
    if (answered.result == start_result::unanswered) {
        request_stop(board, answered.run, now);
        return;
    }
    if (answered.result == start_result::outdated) {
        task_state task = *board.tasks.find(run.task);
        task.last_run_number += run_number_step;
        tasks_.put(run.task, task);
    }
    end_run(board, answered.run, run_outcome::unknown, now);
}

void dispatch_controller::on_stop_answered(job_board& board, const stop_answered& answered,
                                           time_point now)
{
    const run_state* found = board.runs.find(answered.run);
    if (found == nullptr || found->worker != answered.worker ||
        found->phase != run_phase::stopping) {
        return;
    }
    run_state run = *found;
    if (answered.accepted) {
        run.phase = run_phase::stop_confirmed;
        run.confirmed_at = now + board.parameters.max_run_stop_time;
        put_run(answered.run, run);
        return;
    }
    refused_stops_.put(answered.run, run.worker, now + stop_retry_delay);
}

void dispatch_controller::repeat_due_stops(job_board& board, time_point now)
{
    while (const auto due = board.refused_stops.expired(now)) {
        const run_id& id = *due;
        const worker_id called = *board.refused_stops.find(id);
        refused_stops_.erase(id);
        const run_state* run = board.runs.find(id);
        const worker_session* session = board.sessions.find(called);
        if (run == nullptr || run->worker != called || run->phase != run_phase::stopping ||
            session == nullptr) {
            continue;
        }
        board.outbox.post(stop_run{.to = worker_address_of(board, called, *session),
                                   .run = id,
                                   .timeout_at = now + run_call_timeout});
    }
}

void dispatch_controller::reconcile_runs(job_board& board, const report_received& received,
                                         time_point now)
{
    if (!board.sessions.contains(received.worker)) {
        return;
    }
    const worker_report& report = received.report;
    for (const active_run& it : report.running) {
        if (const run_state* run = board.runs.find(it.run);
            run != nullptr && run->worker == received.worker) {
            update_progress(board, it, received, now);
        }
    }
    std::vector<run_id> missing;
    for (const run_id& id : runs_on_worker(board, received.worker)) {
        const run_state* run = board.runs.find(id);
        if (run->confirmed_at >= received.sent_at) {
            continue;
        }
        const bool listed = std::any_of(report.running.begin(), report.running.end(),
                                        [&](const active_run& other) { return other.run == id; }) ||
                            std::any_of(report.ended.begin(), report.ended.end(),
                                        [&](const ended_run& other) { return other.run == id; });
        if (!listed) {
            missing.push_back(id);
        }
    }
    for (const run_id& it : missing) {
        const bool restarted = has_restarted(*board.runs.find(it), report.started_at_ms);
        end_run(board, it, restarted ? run_outcome::worker_crashed : run_outcome::unknown, now);
    }
}

void dispatch_controller::update_progress(job_board& board, const active_run& reported,
                                          const report_received& received, time_point now)
{
    const run_id& id = reported.run;
    const std::uint32_t percent = reported.progress_percent;
    const worker_time reported_at = received.report.clock;
    run_state run = *board.runs.find(id);
    if (run.phase == run_phase::starting) {
        run.phase = run_phase::running;
        run.confirmed_at = now;
        put_run(id, run);
    }
    if (run.phase != run_phase::running) {
        return;
    }
    if (percent > run.progress_percent) {
        run.progress_percent = percent;
        run.progress_at = std::max(run.progress_at, reported_at);
        put_run(id, run);
        return;
    }
    const bool stalled = received.sent_at > run.start_sent_at &&
                         reported_at >= run.progress_at + stall_timeout &&
                         percent < nearly_done_percent;
    if (!stalled) {
        return;
    }
    board.outbox.post(log_decision{"run_stalled",
                                   id.job.text(),
                                   {{"worker", run.worker.text()},
                                    {"task", std::to_string(id.task)},
                                    {"percent", std::to_string(percent)}}});
    board.raised.post(run_stalled{run.worker});
    request_stop(board, id, now);
}

void dispatch_controller::request_stop(job_board& board, const run_id& id, time_point now)
{
    run_state run = *board.runs.find(id);
    const worker_session* session = board.sessions.find(run.worker);
    if (session == nullptr) {
        end_run(board, id, run_outcome::unknown, now);
        return;
    }
    if (run.phase == run_phase::stopping || run.phase == run_phase::stop_confirmed) {
        return;
    }
    run.phase = run_phase::stopping;
    put_run(id, run);
    board.outbox.post(stop_run{.to = worker_address_of(board, run.worker, *session),
                               .run = id,
                               .timeout_at = now + run_call_timeout});
}

void dispatch_controller::end_run(job_board& board, const run_id& id, run_outcome outcome,
                                  time_point now)
{
    const run_state* found = board.runs.find(id);
    if (found == nullptr) {
        return;
    }
    const run_state run = *found;
    runs_.erase(id);
    runs_by_worker_.erase({run.worker, id});
    update_worker_load(board, run, false);
    if (const task_ref* trial = board.trials.find(run.worker);
        trial != nullptr && *trial == run.task) {
        trials_.erase(run.worker);
    }
    if (outcome == run_outcome::worker_crashed) {
        board.raised.post(worker_crashed_under_task{run.worker, {id.job, id.step, id.task}});
    }
    update_job(board, run.task.job, now, [](job_state_fields& it) { --it.active_runs; });
    const job_state job = *board.jobs.find(run.task.job);
    if (job->closing) {
        if (job->active_runs == 0) {
            erase_job(board, run.task.job);
        }
        return;
    }
    if (outcome == run_outcome::done) {
        record_run_time(board, run, now);
        complete_task(board, run, now);
        return;
    }
    board.outbox.post(log_decision{"run_not_done",
                                   id.job.text(),
                                   {{"worker", run.worker.text()},
                                    {"task", std::to_string(id.task)},
                                    {"run", std::to_string(id.number)},
                                    {"how", to_string(outcome)}}});
    if (outcome == run_outcome::failed) {
        fail_task(board, run, now);
        return;
    }
    task_state task = *board.tasks.find(run.task);
    task.avoided_worker = run.worker;
    tasks_.put(run.task, task);
    enqueue_task(board, run.task);
}

void dispatch_controller::complete_task(job_board& board, const run_state& run, time_point now)
{
    const job_number number = run.task.job;
    update_job(board, number, now,
               [&](job_state_fields& it) { --it.unfinished_tasks[run.task.step]; });
    const job_state job = *board.jobs.find(number);
    if (job->unfinished_tasks[run.task.step] > 0) {
        return;
    }
    const bool complete = std::all_of(job->unfinished_tasks.begin(), job->unfinished_tasks.end(),
                                      [](std::uint32_t n) { return n == 0; });
    if (complete) {
        finish_job(board, number, job_outcome::succeeded, now);
        return;
    }
    const std::vector<job_step>& steps = job->order->job->steps;
    for (std::uint32_t n = 0; n < steps.size(); ++n) {
        const std::vector<std::uint32_t>& after = steps[n].predecessors;
        const bool depends_on_step =
            std::find(after.begin(), after.end(), run.task.step) != after.end();
        const bool unblocked =
            std::all_of(after.begin(), after.end(), [&](std::uint32_t predecessor) {
                return job->unfinished_tasks[predecessor] == 0;
            });
        if (depends_on_step && unblocked) {
            enqueue_step(board, number, n);
        }
    }
}

void dispatch_controller::fail_task(job_board& board, const run_state& run, time_point now)
{
    task_state task = *board.tasks.find(run.task);
    ++task.failures;
    task.avoided_worker = run.worker;
    tasks_.put(run.task, task);
    const job_state job = *board.jobs.find(run.task.job);
    if (task.failures >= job->order->max_attempts) {
        finish_job(board, run.task.job, job_outcome::failed, now);
        return;
    }
    enqueue_task(board, run.task);
}

void dispatch_controller::interrupt_jobs_on_worker(job_board& board, const worker_id& id,
                                                   time_point now)
{
    for (const run_id& it : runs_on_worker(board, id)) {
        const run_state* run = board.runs.find(it);
        if (run == nullptr) {
            continue;
        }
        const job_number job = run->task.job;
        finish_job(board, job, job_outcome::interrupted, now);
        end_run(board, it, run_outcome::unknown, now);
    }
}

void dispatch_controller::end_terminated_runs(job_board& board,
                                              const worker_runs_terminated& terminated,
                                              time_point now)
{
    const worker_session* session = board.sessions.find(terminated.worker);
    for (const run_id& it : runs_on_worker(board, terminated.worker)) {
        const run_state& run = *board.runs.find(it);
        if (session != nullptr && has_restarted(run, session->started_at_ms)) {
            end_run(board, it, run_outcome::worker_crashed, now);
            continue;
        }
        if (terminated.suspected_crash) {
            board.raised.post(
                run_lost{terminated.worker, {it.job, it.step, it.task}, run.worker_started_at_ms});
        }
        end_run(board, it, run_outcome::lease_expired, now);
    }
}

void dispatch_controller::put_run(const run_id& id, const run_state& run)
{
    runs_.put(id, run, run.expected_end);
    runs_by_worker_.put({run.worker, id}, run.phase);
}

void dispatch_controller::update_worker_load(job_board& board, const run_state& run, bool added)
{
    const worker_load* known = board.worker_loads.find(run.worker);
    worker_load load = known == nullptr ? worker_load() : *known;
    load.used = added ? load.used + run.need : load.used - run.need;
    load.runs = added ? load.runs + 1 : load.runs - 1;
    if (load.runs == 0) {
        worker_loads_.erase(run.worker);
        return;
    }
    worker_loads_.put(run.worker, load);
}

} // namespace papayafall::jobs
