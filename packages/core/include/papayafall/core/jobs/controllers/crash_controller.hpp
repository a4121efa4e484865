#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Counts the workers that crashed while they ran a task.
///
/// A crash may be the fault of any task on the worker, or of none. The counts outlive the job, its
/// dispatcher and its resubmission: they are kept for a while and passed on to the linked hosts,
/// also to those that are linked later.
///
/// A worker that refuses connections may have crashed or may only be cut off. Its lost runs are
/// kept until it reports again: only a later start of its process counts as a crash.
class crash_controller : public job_controller {
  public:
    explicit crash_controller(job_board& board);

    std::string_view name() const noexcept override { return "crashes"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void keep_lost_run(job_board& board, const run_lost& lost, time_point now);
    /// Counts the lost runs of a worker that were sent to an earlier process as crashes.
    /// @param started_at_ms start of the worker's process; 0: unknown
    void count_lost_runs(job_board& board, const worker_id& id, std::int64_t started_at_ms);
    /// Forgets the lost runs of a worker that reports again.
    void forget_lost_runs(const job_board& board, const worker_id& id);
    void count_crash(job_board& board, const worker_crashed_under_task& crash, time_point now);
    static void publish_all_crashes(job_board& board);
    void set_crashes(job_board& board, const task_id& task, std::uint32_t crashes, time_point now);

    table_writer<task_id, std::uint32_t> task_crashes_;
    table_writer<worker_id, time_point> crashed_workers_;
    table_writer<lost_run_key, std::int64_t> lost_runs_;
};

/// Crashes under a task after which it is given up.
inline constexpr std::uint32_t max_task_crashes = 2;

/// Number of workers that crashed lately while they ran the task.
std::uint32_t crashes_under(const job_board& board, const task_id& task);

/// The same, with the workers that lost a run of the task and of which it is not known whether they
/// crashed.
std::uint32_t possible_crashes_under(const job_board& board, const task_id& task);

} // namespace papayafall::jobs
