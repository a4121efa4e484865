#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Claims and holds the seats of this host's zone: reads `hosts` and the configuration, writes
/// `session_lease_until` and `seats`.
///
/// Each seat is claimed by the host that rendezvous hashing prefers, and only while no live host
/// reports that it holds the seat. The platform's compare-and-swap decides.
class seat_controller : public controller {
  public:
    explicit seat_controller(blackboard& board);

    std::string_view name() const noexcept override { return "seat"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void grant(blackboard& board, const seat_granted& grant, const clock_reading& now);
    void drop_all(blackboard& board, time_point now);
    void step(blackboard& board, const seat_id& seat, time_point now);

    cell_writer<time_point> session_lease_;
    table_writer<seat_id, seat_state> seats_;
};

} // namespace papayafall
