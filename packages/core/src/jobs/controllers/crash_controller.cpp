#include "papayafall/core/jobs/controllers/crash_controller.hpp"

#include <chrono>
#include <string>
#include <variant>

namespace papayafall::jobs {

namespace {

/// Time for which crashes are held against a task. Callers stop submitting a job well before.
constexpr duration crash_memory_time = std::chrono::seconds(60);
/// Time that a crashed worker takes to be back in use.
constexpr duration worker_recovery_time = std::chrono::seconds(4);

} // namespace

std::uint32_t crashes_under(const job_board& board, const task_id& task)
{
    const std::uint32_t* known = board.task_crashes.find(task);
    return known == nullptr ? 0 : *known;
}

crash_controller::crash_controller(job_board& board)
    : task_crashes_(board.task_crashes.claim()), crashed_workers_(board.crashed_workers.claim())
{
}

void crash_controller::on_event(job_board& board, const job_event& incoming,
                                const clock_reading& now)
{
    if (const auto* it = std::get_if<worker_crashed_under_task>(&incoming)) {
        crashed_workers_.put(it->worker, now.steady, now.steady + worker_recovery_time);
        const std::uint32_t crashes = crashes_under(board, it->task) + 1;
        board.outbox.post(log_decision{"worker_crashed_under_task",
                                       it->task.job.text(),
                                       {{"worker", it->worker.text()},
                                        {"step", std::to_string(it->task.step)},
                                        {"task", std::to_string(it->task.task)},
                                        {"crashes", std::to_string(crashes)}}});
        set_crashes(board, it->task, crashes, now.steady);
    }
    if (const auto* it = std::get_if<task_crashes_reported>(&incoming);
        it != nullptr && it->crashes > crashes_under(board, it->task)) {
        set_crashes(board, it->task, it->crashes, now.steady);
    }
    if (const auto* it = std::get_if<run_finished>(&incoming);
        it != nullptr && it->outcome == run_outcome::done) {
        task_crashes_.erase({it->run.job, it->run.step, it->run.task});
    }
}

void crash_controller::on_tick(job_board& board, const clock_reading& now)
{
    while (const auto forgotten = board.task_crashes.expired(now.steady)) {
        task_crashes_.erase(*forgotten);
    }
    while (const auto recovered = board.crashed_workers.expired(now.steady)) {
        crashed_workers_.erase(*recovered);
    }
}

void crash_controller::set_crashes(job_board& board, const task_id& task, std::uint32_t crashes,
                                   time_point now)
{
    task_crashes_.put(task, crashes, now + crash_memory_time);
    board.outbox.post(publish_task_crashes{task, crashes});
    board.raised.post(task_crashes_counted{task});
}

} // namespace papayafall::jobs
