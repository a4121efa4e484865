#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"

#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

namespace papayafall::jobs {

namespace {

/// @param work_ahead       work that goes first, in thousandths of a core times microseconds
/// @param missing_cpu_millis capacity that the job needs and that is not free
duration expected_wait(std::int64_t work_ahead, std::int64_t missing_cpu_millis, duration run_time,
                       std::int64_t total_cpu_millis)
{
    // In floating point, because the product of valid numbers may exceed 64 bits.
    const double work = static_cast<double>(work_ahead) + static_cast<double>(missing_cpu_millis) *
                                                              static_cast<double>(run_time.count());
    const double wait = work / static_cast<double>(total_cpu_millis);
    return duration(
        static_cast<std::int64_t>(std::min(wait, static_cast<double>(max_run_time.count()))));
}

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

} // namespace

std::optional<job_outcome> dispatch_controller::refusal_outcome(job_board& board,
                                                                const job_order_fields& order,
                                                                time_point now) const
{
    if (is_given_up(board, order.job->id)) {
        board.outbox.post(
            log_decision{"job_refused", order.job->id.text(), {{"reason", "crashed_workers"}}});
        return job_outcome::failed;
    }
    std::int64_t total_cpu_millis = 0;
    std::int64_t free_cpu_millis = 0;
    for (const auto& it : board.sessions) {
        const worker* entry = current_entry(board, it.key, it.value);
        const held_cell* held = board.held_cells.find(it.value.cell);
        if (entry == nullptr || held == nullptr || held->phase != cell_phase::held ||
            (*entry)->service != order.service || !accepts_new_jobs(board, **entry)) {
            continue;
        }
        const worker_load* load = board.worker_loads.find(it.key);
        total_cpu_millis += (*entry)->capacity.cpu_millis;
        free_cpu_millis +=
            it.value.phase == session_phase::ready
                ? (*entry)->capacity.cpu_millis - (load == nullptr ? 0 : load->used.cpu_millis)
                : 0;
    }
    if (total_cpu_millis == 0) {
        return job_outcome::refused;
    }
    const duration run_time = critical_path_duration(*order.job);
    const time_point start_by = order.objective_deadline - run_time;
    const waiting_group group = waiting_group_of(order, false);
    // In thousandths of a core times microseconds.
    std::int64_t work_ahead = 0;
    for (const auto& it : board.waiting_tasks) {
        if (std::tie(it.key.group, it.key.start_by) > std::tie(group, start_by)) {
            break;
        }
        const job_state* job = board.jobs.find(it.value.job);
        const job_step& step = (*job)->order->job->steps[it.value.step];
        work_ahead += step.need.cpu_millis * step.estimated_run_time.count();
    }
    std::int64_t needed_cpu_millis = 0;
    for (const job_step& it : order.job->steps) {
        needed_cpu_millis =
            std::max(needed_cpu_millis, it.need.cpu_millis * std::int64_t{it.count});
    }
    const std::int64_t missing_cpu_millis =
        std::max<std::int64_t>(0, needed_cpu_millis - std::max<std::int64_t>(free_cpu_millis, 0));
    const duration wait = expected_wait(work_ahead, missing_cpu_millis, run_time, total_cpu_millis);
    if (!admission_->admits(order, {.wait = wait, .run_time = run_time}, now)) {
        board.outbox.post(
            log_decision{"job_refused",
                         order.job->id.text(),
                         {{"reason", "objective"},
                          {"wait_us", std::to_string(wait.count())},
                          {"run_us", std::to_string(run_time.count())},
                          {"left_us", std::to_string((order.objective_deadline - now).count())},
                          {"age_us", std::to_string((now - order.received_at).count())},
                          {"need", std::to_string(needed_cpu_millis)},
                          {"free", std::to_string(free_cpu_millis)},
                          {"total", std::to_string(total_cpu_millis)},
                          {"waiting", std::to_string(board.waiting_tasks.size())}}});
        return job_outcome::refused;
    }
    return std::nullopt;
}

} // namespace papayafall::jobs
