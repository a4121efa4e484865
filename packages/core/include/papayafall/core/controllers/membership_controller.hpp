#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Keeps track of the live hosts: reads the state that heartbeats report, writes `hosts`,
/// `host_list` and this host's own heartbeat.
///
/// A heartbeat is accepted only when its incarnation and sequence are newer than the last one, so
/// that a late datagram of a former incarnation brings nothing back.
class membership_controller : public controller {
  public:
    explicit membership_controller(blackboard& board);

    std::string_view name() const noexcept override { return "membership"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void record_heartbeat(const heartbeat& beat, time_point now);
    void publish_heartbeat(blackboard& board, time_point now);

    table_writer<host_name, host_state> hosts_;
    cell_writer<host_list_snapshot> host_list_;
    cell_writer<heartbeat> own_heartbeat_;
    cell_writer<time_point> heartbeat_due_;
    const blackboard* board_;
};

} // namespace papayafall
