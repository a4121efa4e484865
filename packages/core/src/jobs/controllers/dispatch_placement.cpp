#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/place_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"
#include "papayafall/core/jobs/controllers/speed_controller.hpp"
#include "papayafall/core/jobs/policies/place_forecast.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Longest time for which room is kept for a task that fits nowhere.
constexpr duration max_reservation_time = std::chrono::milliseconds(400);
/// Ready workers for each trial that may be in progress.
constexpr std::size_t workers_per_trial = 4;

std::size_t count_ready_workers(const job_board& board)
{
    return static_cast<std::size_t>(
        std::count_if(board.sessions.begin(), board.sessions.end(),
                      [](const auto& it) { return it.value.phase == session_phase::ready; }));
}

task_id id_of(const job_board& board, const task_ref& task)
{
    const job_state* job = board.jobs.find(task.job);
    return {(*job)->order->job->id, task.step, task.index};
}

/// Entry of the worker if it could run tasks of the step were it idle, or nullptr.
const worker_fields* suitable_entry(const job_board& board, const worker_id& id,
                                    const job_state_fields& job, const job_step& step,
                                    time_point now)
{
    const worker_session* session = board.sessions.find(id);
    if (session == nullptr || session->phase != session_phase::ready) {
        return nullptr;
    }
    const worker* entry = usable_entry(board, id, *session);
    const held_cell* held = board.held_cells.find(session->cell);
    if (entry == nullptr || held == nullptr || (*entry)->service != job.order->service ||
        !accepts_tasks_of(board, **entry, job, now) ||
        (held->phase != cell_phase::held && !job.started)) {
        return nullptr;
    }
    const bool labelled = step.required_label.empty() || (*entry)->has_label(step.required_label);
    return labelled ? &**entry : nullptr;
}

/// Whether the worker has as many runs of the task's step as it may have.
bool reaches_step_limit(const job_board& board, const worker_id& id, const task_ref& task,
                        const job_step& step)
{
    if (step.max_per_worker == 0) {
        return false;
    }
    const job_id& job = (*board.jobs.find(task.job))->order->job->id;
    std::uint32_t runs_of_step = 0;
    for (auto run = board.runs_by_worker.lower_bound(
             {.worker = id, .run = {.job = job, .step = task.step}});
         run != board.runs_by_worker.end() && run->key.worker == id && run->key.run.job == job &&
         run->key.run.step == task.step;
         ++run) {
        ++runs_of_step;
    }
    return runs_of_step >= step.max_per_worker;
}

/// Whether a task would take room that is kept for another one.
/// @param free    free capacity of the worker
/// @param ends_at when the task is expected to end
bool takes_reserved_room(const job_board& board, const worker_id& id, const resources& free,
                         const resources& need, time_point ends_at)
{
    const place_reservation& reserved = *board.reserved_place;
    if (id != reserved.worker || ends_at <= reserved.available_at) {
        return false;
    }
    resources free_then = free - reserved.need;
    for (auto it = board.runs_by_worker.lower_bound({.worker = id});
         it != board.runs_by_worker.end() && it->key.worker == id; ++it) {
        const run_state& run = *board.runs.find(it->key.run);
        if (run.expected_end <= reserved.available_at) {
            free_then = free_then + run.need;
        }
    }
    return !need.fits(free_then);
}

/// Declared time of the longest chain of steps that wait for the given one.
duration path_after(const job_spec_fields& job, std::uint32_t step)
{
    // Steps depend on earlier ones only. Negative: the step does not depend on the given one.
    std::vector<duration> ends(job.steps.size(), duration(-1));
    ends[step] = duration{};
    duration longest{};
    for (std::size_t n = step + std::size_t{1}; n < job.steps.size(); ++n) {
        duration starts(-1);
        for (const std::uint32_t it : job.steps[n].predecessors) {
            starts = std::max(starts, ends[it]);
        }
        if (starts < duration{}) {
            continue;
        }
        ends[n] = starts + job.steps[n].estimated_run_time;
        longest = std::max(longest, ends[n]);
    }
    return longest;
}

} // namespace

bool needs_trial(const job_board& board, const task_ref& task)
{
    return possible_crashes_under(board, id_of(board, task)) > 0;
}

void dispatch_controller::review_crashed_task(job_board& board, const task_id& task, time_point now)
{
    const std::uint32_t crashes = crashes_under(board, task);
    const job_number* found = board.jobs_by_id.find(task.job);
    if (crashes < max_task_crashes || found == nullptr) {
        return;
    }
    board.outbox.post(log_decision{"task_given_up",
                                   task.job.text(),
                                   {{"step", std::to_string(task.step)},
                                    {"task", std::to_string(task.task)},
                                    {"crashes", std::to_string(crashes)}}});
    finish_job(board, job_number(*found), job_outcome::failed, now);
}

bool dispatch_controller::trial_allowed(const job_board& board, const task_ref& task) const
{
    const std::size_t ready = count_ready_workers(board);
    if (possible_crashes_under(board, id_of(board, task)) >= max_task_crashes ||
        board.crashed_workers.size() > ready ||
        board.trials.size() >= std::max<std::size_t>(1, ready / workers_per_trial)) {
        return false;
    }
    return std::none_of(board.trials.begin(), board.trials.end(),
                        [&](const auto& it) { return it.value.job == task.job; });
}

bool dispatch_controller::suits(const job_board& board, const worker_id& id,
                                const task_ref& task) const
{
    const worker_session* session = board.sessions.find(id);
    if (session == nullptr || session->phase != session_phase::ready) {
        return false;
    }
    const worker* entry = usable_entry(board, id, *session);
    const job_order_fields& order = *(*board.jobs.find(task.job))->order;
    return entry != nullptr && accepts_new_jobs(board, **entry) &&
           (*entry)->service == order.service &&
           order.job->steps[task.step].need.fits((*entry)->capacity) && !board.trials.contains(id);
}

void dispatch_controller::reserve_worker(const job_board& board, const task_ref& task)
{
    if (suits(board, *board.reserved_worker, task)) {
        return;
    }
    std::uint32_t fewest_runs = std::numeric_limits<std::uint32_t>::max();
    worker_id found;
    for (const auto& it : board.worker_loads) {
        if (it.value.runs >= fewest_runs || !suits(board, it.key, task)) {
            continue;
        }
        fewest_runs = it.value.runs;
        found = it.key;
    }
    reserved_worker_.put(found);
}

placement_demand dispatch_controller::placement_demand_of(const job_board& board,
                                                          const task_ref& task,
                                                          time_point now) const
{
    const job_order_fields& order = *(*board.jobs.find(task.job))->order;
    const job_step& step = order.job->steps[task.step];
    const duration own = std::max(step.estimated_run_time, duration(1));
    const duration path = own + path_after(*order.job, task.step);
    // Each step of the path may use up the same share of the time.
    const double share = static_cast<double>(own.count()) / static_cast<double>(path.count());
    const duration left = order.objective_deadline - now;
    return {.step = &step,
            .time_left = std::chrono::duration_cast<duration>(left * share),
            .best_run_time = expected_run_time_at(least_slowness(board), step.estimated_run_time),
            .recent = *board.recent_demands};
}

void dispatch_controller::reserve_place(const job_board& board, const task_ref& task,
                                        const place_reservation& previous, time_point now)
{
    const indexed_worker* kept = board.indexed_workers.find(previous.worker);
    if (previous.task == task && previous.available_at > now && kept != nullptr && kept->ready) {
        reserved_place_.put(previous);
        return;
    }
    const job_order_fields& order = *(*board.jobs.find(task.job))->order;
    const job_step& step = order.job->steps[task.step];
    if (!step.required_label.empty() || step.max_per_worker > 0) {
        return; // the forecast does not know these limits
    }
    const std::optional<next_place> found = soonest_place(board, order.service, step.need, now);
    if (!found || found->available_at > now + max_reservation_time) {
        return;
    }
    reserved_place_.put({.task = task,
                         .worker = found->worker,
                         .need = step.need,
                         .available_at = found->available_at});
}

std::vector<placement_candidate> dispatch_controller::candidates_for(const job_board& board,
                                                                     const task_ref& task,
                                                                     const job_state_fields& job,
                                                                     time_point now) const
{
    const job_order_fields& order = *job.order;
    const job_step& step = order.job->steps[task.step];
    const worker_id& avoid = board.tasks.find(task)->avoided_worker;
    const bool trial = needs_trial(board, task);
    const auto is_avoided = [&](const worker_id& id) {
        const worker_health* health = board.health.find(id);
        return id == avoid || (health != nullptr && health->avoid_until > now);
    };
    std::vector<placement_candidate> found;
    bool has_avoided = false;
    for (auto it = board.free_capacities.lower_bound(
             {.service = order.service, .free_cpu_millis = step.need.cpu_millis});
         it != board.free_capacities.end() && it->key.service == order.service; ++it) {
        const worker_id& id = it->key.worker;
        const worker_fields* entry = suitable_entry(board, id, job, step, now);
        if (entry == nullptr) {
            continue;
        }
        const worker_load* load = board.worker_loads.find(id);
        const bool unshared =
            trial ? load == nullptr : !board.trials.contains(id) && id != *board.reserved_worker;
        if (!unshared) {
            continue;
        }
        const resources free = load == nullptr ? entry->capacity : entry->capacity - load->used;
        if (!step.need.fits(free) || reaches_step_limit(board, id, task, step)) {
            continue;
        }
        const double slowness = slowness_of(board, *entry);
        const duration run_time = expected_run_time_at(slowness, step.estimated_run_time);
        if (takes_reserved_room(board, id, free, step.need, now + run_time)) {
            continue;
        }
        const bool avoided = is_avoided(id);
        has_avoided = has_avoided || avoided;
        found.push_back({.entry = entry,
                         .free = free,
                         .slowness = slowness,
                         .expected_run_time = run_time,
                         .avoided = avoided});
    }
    if (!has_avoided) {
        return found;
    }
    // A worker that need not be avoided is waited for, if there is one.
    constexpr std::int64_t least = std::numeric_limits<std::int64_t>::min();
    for (auto it = board.free_capacities.lower_bound(
             {.service = order.service, .free_cpu_millis = least});
         it != board.free_capacities.end() && it->key.service == order.service; ++it) {
        const worker_id& id = it->key.worker;
        if (!is_avoided(id) && suitable_entry(board, id, job, step, now) != nullptr) {
            std::erase_if(found, [](const placement_candidate& other) { return other.avoided; });
            break;
        }
    }
    return found;
}

} // namespace papayafall::jobs
