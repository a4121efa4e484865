#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/worker_ejection.hpp"

#include <memory>

namespace papayafall::jobs {

/// Tracks the health of workers by the results of their runs, and marks those to be avoided.
class health_controller : public job_controller {
  public:
    health_controller(job_board& board, std::shared_ptr<const worker_ejection_policy> ejection);

    std::string_view name() const noexcept override { return "health"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    /// Stores the health of a worker, with the time for which the policy has it avoided.
    /// @param evidence what the worker is judged by, for the log
    void update_health(job_board& board, const worker_id& id, worker_health health, time_point now,
                       const char* evidence);

    std::shared_ptr<const worker_ejection_policy> ejection_;
    table_writer<worker_id, worker_health> health_;
};

} // namespace papayafall::jobs
