#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"

#include <memory>

namespace papayafall {

/// Judges the targets of this host's zone and decides which of them this host dispatches to.
/// Runs after the controller that writes the hosts, and before the one that erases exchanges.
class target_controller final : public controller {
  public:
    target_controller(blackboard& board, std::shared_ptr<const ejection_policy> ejection);

    std::string_view name() const noexcept override { return "target"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    std::shared_ptr<const ejection_policy> ejection_;
    table_writer<target_name, target_state> targets_;
    cell_writer<zone_health> health_;
    cell_writer<target_division> division_;
};

} // namespace papayafall
