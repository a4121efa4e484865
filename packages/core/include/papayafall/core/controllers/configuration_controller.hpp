#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Brings the newest configuration into force: reads `hosts`, writes `current_configuration`
/// and `last_change`.
///
/// Only a higher revision replaces the present one. One host of each zone watches the platform;
/// the others hear of a new revision by heartbeat and fetch it from the peer.
class configuration_controller : public controller {
  public:
    explicit configuration_controller(blackboard& board);

    std::string_view name() const noexcept override { return "configuration"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void apply_if_newer(blackboard& board, const configuration_received& incoming, wall_time now);
    void fetch_if_newer(blackboard& board, const heartbeat& peer_heartbeat, time_point now);

    cell_writer<configuration> current_configuration_;
    cell_writer<applied_change> last_change_;
    cell_writer<bool> watching_;
    cell_writer<time_point> fetch_due_;
};

} // namespace papayafall
