#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Estimates the run times of each service from the exchanges completed by targets of this host,
/// and the number of slots that short work needs: writes `run_times` and
/// `short_work_demand`.
///
/// Runs before `scheduling_controller`, which erases finished exchanges.
class estimate_controller final : public controller {
  public:
    explicit estimate_controller(blackboard& board);

    std::string_view name() const noexcept override { return "estimate"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    table_writer<service_name, run_time_estimate> run_times_;
    cell_writer<slot_demand> short_work_demand_;
};

} // namespace papayafall
