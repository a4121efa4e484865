#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Performs the graceful shutdown of the process: reads all open work, writes `self` and
/// `stop_posted`.
///
/// After a shutdown request, heartbeats report that the host is leaving. The host accepts new
/// requests during the drain period and rejects them afterwards. It posts `stop_process` as soon as
/// no work is open, or at the shutdown deadline at the latest.
class lifecycle_controller : public controller {
  public:
    explicit lifecycle_controller(blackboard& board);

    std::string_view name() const noexcept override { return "lifecycle"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    cell_writer<self_state> self_;
    cell_writer<bool> stop_posted_;
};

} // namespace papayafall
