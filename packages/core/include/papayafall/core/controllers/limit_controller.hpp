#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/policies/run_time_estimator.hpp"

#include <memory>

namespace papayafall {

/// Counts what services and teams use of their limits, quotas and budgets, and keeps the virtual
/// time of each team. Runs before the controller that queues accepted work.
class limit_controller final : public controller {
  public:
    limit_controller(blackboard& board, std::shared_ptr<const run_time_estimator> run_times);

    std::string_view name() const noexcept override { return "limit"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void count_submission(const blackboard& board, const submission_accepted& incoming,
                          const clock_reading& now);
    void count_delegation(const blackboard& board, const delegation_received& incoming);
    void release_finished_task(const blackboard& board, const work_finished& incoming);
    void release_submission(const blackboard& board, const submission_closed& incoming);
    void charge_run_time(const blackboard& board, const exchange_finished& incoming,
                         const clock_reading& now);
    void advance_virtual_time(const blackboard& board, const work_item& sample,
                              std::uint32_t tasks);
    void release_tasks(const blackboard& board, const open_submission& submission,
                       std::uint32_t tasks);

    std::shared_ptr<const run_time_estimator> run_times_;
    table_writer<service_name, service_usage> service_usages_;
    table_writer<team_name, team_usage> team_usages_;
    table_writer<submission_id, open_submission> open_submissions_;
    cell_writer<duration> latest_virtual_start_;
};

} // namespace papayafall
