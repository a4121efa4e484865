#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

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
    const worker* entry = current_entry(board, id, *session);
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

std::vector<placement_candidate> dispatch_controller::candidates_for(const job_board& board,
                                                                     const task_ref& task,
                                                                     const job_state_fields& job,
                                                                     time_point now) const
{
    const job_order_fields& order = *job.order;
    const job_step& step = order.job->steps[task.step];
    const worker_id& avoid = board.tasks.find(task)->avoided_worker;
    const bool trial = needs_trial(board, task);
    std::vector<placement_candidate> found;
    bool has_healthy_worker = false; // a worker that need not be avoided exists, even if it is busy
    for (const auto& it : board.sessions) {
        const worker* entry = current_entry(board, it.key, it.value);
        const held_cell* held = board.held_cells.find(it.value.cell);
        if (it.value.phase != session_phase::ready || entry == nullptr || held == nullptr ||
            !accepts_tasks_of(board, **entry, job, now) || (*entry)->service != order.service) {
            continue;
        }
        if (held->phase != cell_phase::held && !job.started) {
            continue;
        }
        if (!step.required_label.empty() && !(*entry)->has_label(step.required_label)) {
            continue;
        }
        const worker_health* health = board.health.find(it.key);
        const bool avoided = it.key == avoid || (health != nullptr && health->avoid_until > now);
        has_healthy_worker = has_healthy_worker || !avoided;
        const worker_load* load = board.worker_loads.find(it.key);
        const bool unshared =
            trial ? load == nullptr
                  : !board.trials.contains(it.key) && it.key != *board.reserved_worker;
        if (!unshared) {
            continue;
        }
        const resources free =
            load == nullptr ? (*entry)->capacity : (*entry)->capacity - load->used;
        if (!step.need.fits(free)) {
            continue;
        }
        if (step.max_per_worker > 0) {
            std::uint32_t runs_of_step = 0;
            for (auto run = board.runs_by_worker.lower_bound(
                     {.worker = it.key, .run = {.job = order.job->id, .step = task.step}});
                 run != board.runs_by_worker.end() && run->key.worker == it.key &&
                 run->key.run.job == order.job->id && run->key.run.step == task.step;
                 ++run) {
                ++runs_of_step;
            }
            if (runs_of_step >= step.max_per_worker) {
                continue;
            }
        }
        found.push_back({.entry = &**entry,
                         .free = free,
                         .slowness = health == nullptr ? 1 : health->slowness,
                         .avoided = avoided});
    }
    if (has_healthy_worker) {
        std::erase_if(found, [](const placement_candidate& it) { return it.avoided; });
    }
    return found;
}

} // namespace papayafall::jobs
