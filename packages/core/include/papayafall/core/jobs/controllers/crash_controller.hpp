#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

namespace papayafall::jobs {

/// Counts the workers that crashed while they ran a task.
///
/// A crash may be the fault of any task on the worker, or of none. The counts outlive the job, its
/// dispatcher and its resubmission: they are kept for a while and passed on to the linked hosts.
class crash_controller : public job_controller {
  public:
    explicit crash_controller(job_board& board);

    std::string_view name() const noexcept override { return "crashes"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void set_crashes(job_board& board, const task_id& task, std::uint32_t crashes, time_point now);

    table_writer<task_id, std::uint32_t> task_crashes_;
    table_writer<worker_id, time_point> crashed_workers_;
};

/// Crashes under a task after which it is given up.
inline constexpr std::uint32_t max_task_crashes = 2;

/// Number of workers that crashed lately while they ran the task.
std::uint32_t crashes_under(const job_board& board, const task_id& task);

} // namespace papayafall::jobs
