#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Maintains the membership of the cluster from heartbeats and host lists, and sends the heartbeats
/// of this host: writes `hosts`, `host_list`, `own_heartbeat` and `heartbeat_due`.
///
/// A heartbeat is accepted only if it is newer than the last one from the same host, by incarnation
/// and then by sequence number. A delayed datagram therefore cannot restore outdated state.
class membership_controller : public controller {
  public:
    explicit membership_controller(blackboard& board);

    std::string_view name() const noexcept override { return "membership"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Records the heartbeat of a peer unless it is outdated.
    void record_heartbeat(const heartbeat& beat, time_point now);
    /// Sends the next heartbeat of this host to its peers, or to the next group of them if there
    /// are many.
    void publish_heartbeat(blackboard& board, time_point now);

    table_writer<host_name, host_state> hosts_;
    cell_writer<host_list_snapshot> host_list_;
    cell_writer<heartbeat> own_heartbeat_;
    cell_writer<time_point> heartbeat_due_;
    const blackboard* board_;
};

} // namespace papayafall
