#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"

#include <memory>
#include <set>

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
    void apply_host_list(blackboard& board, const host_list_snapshot& hosts,
                         const clock_reading& now);
    void apply_entry(blackboard& board, const target_entry& entry, const clock_reading& now);
    void mark_unlisted_leaving(blackboard& board, const std::set<target_name>& listed,
                               const clock_reading& now);
    void apply_heartbeat(blackboard& board, const heartbeat& beat, const clock_reading& now);
    void apply_outcome(blackboard& board, const exchange_finished& incoming,
                       const clock_reading& now);
    void handle_stage_end(blackboard& board, const target_name& target, const clock_reading& now);
    void divide_targets(blackboard& board, const clock_reading& now);
    void put_target(blackboard& board, const target_name& target, const target_state& after);
    void erase_target(blackboard& board, const target_name& target);

    std::shared_ptr<const ejection_policy> ejection_;
    table_writer<target_name, target_state> targets_;
    cell_writer<zone_health> health_;
    cell_writer<target_division> division_;
};

} // namespace papayafall
