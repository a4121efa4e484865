#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Publishes a status snapshot of the blackboard every `status_period`: reads every section, writes
/// only `status_due`, the time of the next snapshot.
class status_controller : public controller {
  public:
    explicit status_controller(blackboard& board);

    std::string_view name() const noexcept override { return "status"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    cell_writer<time_point> status_due_;
};

} // namespace papayafall
