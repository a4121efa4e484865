#include "papayafall/core/jobs/controllers/crash_controller.hpp"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

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

std::uint32_t possible_crashes_under(const job_board& board, const task_id& task)
{
    std::uint32_t n = crashes_under(board, task);
    for (auto it = board.lost_runs.lower_bound({.task = task});
         it != board.lost_runs.end() && it->key.task == task; ++it) {
        ++n;
    }
    return n;
}

crash_controller::crash_controller(job_board& board)
    : task_crashes_(board.task_crashes.claim()), crashed_workers_(board.crashed_workers.claim()),
      lost_runs_(board.lost_runs.claim())
{
}

void crash_controller::on_event(job_board& board, const job_event& incoming,
                                const clock_reading& now)
{
    if (const auto* it = std::get_if<worker_crashed_under_task>(&incoming)) {
        count_crash(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<run_lost>(&incoming)) {
        keep_lost_run(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<report_received>(&incoming)) {
        count_lost_runs(board, it->worker, it->report.started_at_ms);
        forget_lost_runs(board, it->worker);
    }
    if (const auto* it = std::get_if<worker_listed>(&incoming)) {
        count_lost_runs(board, it->entry->id, it->entry->started_at_ms);
    }
    if (const auto* it = std::get_if<task_crashes_reported>(&incoming);
        it != nullptr && it->crashes > crashes_under(board, it->task)) {
        set_crashes(board, it->task, it->crashes, now.steady);
    }
    if (std::holds_alternative<peer_connected>(incoming) ||
        std::holds_alternative<delegator_connected>(incoming)) {
        publish_all_crashes(board);
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
    while (const auto forgotten = board.lost_runs.expired(now.steady)) {
        lost_runs_.erase(*forgotten);
    }
}

void crash_controller::keep_lost_run(job_board& board, const run_lost& lost, time_point now)
{
    crashed_workers_.put(lost.worker, now, now + worker_recovery_time);
    lost_runs_.put({lost.task, lost.worker}, lost.worker_started_at_ms, now + crash_memory_time);
    board.outbox.post(log_decision{"run_lost",
                                   lost.task.job.text(),
                                   {{"worker", lost.worker.text()},
                                    {"step", std::to_string(lost.task.step)},
                                    {"task", std::to_string(lost.task.task)},
                                    {"born", std::to_string(lost.worker_started_at_ms)}}});
}

void crash_controller::count_lost_runs(job_board& board, const worker_id& id,
                                       std::int64_t started_at_ms)
{
    std::vector<lost_run_key> crashed;
    for (const auto& it : board.lost_runs) {
        if (it.key.worker == id && it.value != 0 && started_at_ms > it.value) {
            crashed.push_back(it.key);
        }
    }
    for (const lost_run_key& it : crashed) {
        lost_runs_.erase(it);
        board.raised.post(worker_crashed_under_task{id, it.task});
    }
}

void crash_controller::forget_lost_runs(const job_board& board, const worker_id& id)
{
    std::vector<lost_run_key> forgotten;
    for (const auto& it : board.lost_runs) {
        if (it.key.worker == id) {
            forgotten.push_back(it.key);
        }
    }
    for (const lost_run_key& it : forgotten) {
        lost_runs_.erase(it);
    }
}

void crash_controller::count_crash(job_board& board, const worker_crashed_under_task& crash,
                                   time_point now)
{
    crashed_workers_.put(crash.worker, now, now + worker_recovery_time);
    const std::uint32_t crashes = crashes_under(board, crash.task) + 1;
    board.outbox.post(log_decision{"worker_crashed_under_task",
                                   crash.task.job.text(),
                                   {{"worker", crash.worker.text()},
                                    {"step", std::to_string(crash.task.step)},
                                    {"task", std::to_string(crash.task.task)},
                                    {"crashes", std::to_string(crashes)}}});
    set_crashes(board, crash.task, crashes, now);
}

void crash_controller::publish_all_crashes(job_board& board)
{
    for (const auto& it : board.task_crashes) {
        board.outbox.post(publish_task_crashes{it.key, it.value});
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
