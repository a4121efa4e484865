#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Carries the process through a graceful shutdown: reads all open work, writes `self`.
///
/// After a shutdown request the host tells its peers that it is leaving, accepts requests for a
/// drain period, then refuses new ones, finishes what is in progress and posts `stop_process`.
class lifecycle_controller : public controller {
  public:
    explicit lifecycle_controller(blackboard& board);

    std::string_view name() const noexcept override { return "lifecycle"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    cell_writer<self_state> self_;
    cell_writer<bool> stopped_;
};

} // namespace papayafall
