#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/policies/run_time_estimator.hpp"

#include <memory>

namespace papayafall {

/// Tracks how much of their limits, quotas and budgets services and teams use, and maintains the
/// virtual time of each team for fair queuing: writes `service_usages`, `team_usages`,
/// `open_submissions` and `latest_virtual_start`.
///
/// Runs before `scheduling_controller`, which queues accepted work.
class limit_controller final : public controller {
  public:
    limit_controller(blackboard& board, std::shared_ptr<const run_time_estimator> run_times);

    std::string_view name() const noexcept override { return "limit"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Counts the tasks of an accepted submission and takes its tokens from the rate limits.
    void count_submission(const blackboard& board, const submission_accepted& incoming,
                          const clock_reading& now);
    /// Advances the virtual time of the team by one delegated task. Limits are counted at the home
    /// of the task.
    void count_delegation(const blackboard& board, const delegation_received& incoming);
    /// Removes one finished task from the open tasks of its service and team.
    void release_finished_task(const blackboard& board, const work_finished& incoming);
    /// Removes the unfinished tasks of a closed submission from those of its service and team.
    void release_submission(const blackboard& board, const submission_closed& incoming);
    /// Charges the run time of a finished exchange to the budget of its service.
    void charge_run_time(const blackboard& board, const exchange_finished& incoming,
                         const clock_reading& now);
    /// Advances the virtual time of a team by the expected run time of `tasks` tasks, divided by
    /// the slot quota of the team.
    /// @param sample work item that stands for all of these tasks
    void advance_virtual_time(const blackboard& board, const work_item& sample,
                              std::uint32_t tasks);
    /// Removes `tasks` tasks of `submission` from the open tasks of its service and team.
    void release_tasks(const blackboard& board, const open_submission& submission,
                       std::uint32_t tasks);

    std::shared_ptr<const run_time_estimator> run_times_;
    table_writer<service_name, service_usage> service_usages_;
    table_writer<team_name, team_usage> team_usages_;
    table_writer<submission_id, open_submission> open_submissions_;
    cell_writer<duration> latest_virtual_start_;
};

} // namespace papayafall
