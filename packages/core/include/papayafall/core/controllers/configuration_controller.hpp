#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Applies new revisions of the configuration: reads `hosts`, writes `current_configuration`,
/// `last_change`, `watching_configuration` and `configuration_fetch_due`.
///
/// A configuration is applied only if its revision is higher than the current one. One host of each
/// zone watches the platform for changes. The other hosts learn of a new revision from heartbeats
/// and fetch the configuration from the peer that reported it.
class configuration_controller : public controller {
  public:
    explicit configuration_controller(blackboard& board);

    std::string_view name() const noexcept override { return "configuration"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Applies a received configuration if its revision is higher than the current one.
    void apply_if_newer(blackboard& board, const configuration_received& incoming, wall_time now);
    /// Fetches the configuration of a peer that reports a higher revision, at most once in each
    /// `configuration_fetch_period`.
    void fetch_if_newer(blackboard& board, const heartbeat& peer_heartbeat, time_point now);

    cell_writer<configuration> current_configuration_;
    cell_writer<applied_change> last_change_;
    cell_writer<bool> watching_configuration_;
    cell_writer<time_point> configuration_fetch_due_;
};

} // namespace papayafall
