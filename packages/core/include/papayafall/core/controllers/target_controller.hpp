#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"

#include <memory>
#include <set>

namespace papayafall {

/// Tracks the health of the targets of this host's zone and decides which of them this host
/// dispatches to: writes `targets`, `target_health` and `division`.
///
/// Runs after `membership_controller`, which writes `hosts`, and before `scheduling_controller`,
/// which erases finished exchanges.
class target_controller final : public controller {
  public:
    target_controller(blackboard& board, std::shared_ptr<const ejection_policy> ejection);

    std::string_view name() const noexcept override { return "target"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Applies a host list from the platform. A list without most of the known targets removes none
    /// until several such lists arrived in a row; an empty list never does.
    void apply_host_list(blackboard& board, const host_list_snapshot& hosts,
                         const clock_reading& now);
    /// Adds a listed target or updates it after its entry changed.
    void apply_entry(blackboard& board, const target_entry& entry, const clock_reading& now);
    /// Marks the targets that the accepted list does not contain as leaving.
    void mark_unlisted_leaving(blackboard& board, const std::set<target_name>& listed,
                               const clock_reading& now);
    /// Marks the targets as leaving that announced it to the sender of the heartbeat.
    void apply_heartbeat(blackboard& board, const heartbeat& beat, const clock_reading& now);
    /// Updates the health of a target after an exchange and ejects it if the policy says so.
    void apply_outcome(blackboard& board, const exchange_finished& incoming,
                       const clock_reading& now);
    /// Moves a target to its next stage, or erases it once it is unlisted and its slots are free.
    void handle_stage_end(blackboard& board, const target_name& target, const clock_reading& now);
    /// Divides the targets again if the set of dispatching hosts changed.
    void divide_targets(blackboard& board, const clock_reading& now);
    /// Writes the state of a target, updates the sums over the zone and raises `target_changed` if
    /// the target index depends on the change.
    void put_target(blackboard& board, const target_name& target, const target_state& after);
    /// Erases a target, removes it from the sums over the zone and raises `target_changed`.
    void erase_target(blackboard& board, const target_name& target);

    std::shared_ptr<const ejection_policy> ejection_;
    table_writer<target_name, target_state> targets_;
    cell_writer<zone_health> target_health_;
    cell_writer<target_division> division_;
};

} // namespace papayafall
