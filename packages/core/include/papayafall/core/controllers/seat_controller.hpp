#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Claims the seats of this host's zone: reads `hosts` and the configuration, writes
/// `session_lease_until` and `seats`.
///
/// A seat is a partition of the key space; the host that holds it is the home of its keys. A seat
/// is claimed only by the host that rendezvous hashing selects, and only while no live peer reports
/// that it holds the seat. Competing claims are resolved by a compare-and-swap on the platform.
class seat_controller : public controller {
  public:
    explicit seat_controller(blackboard& board);

    std::string_view name() const noexcept override { return "seat"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Marks a granted seat as held. If another process may have held it in between, restricts the
    /// keys that may start work to those that an earlier holder cannot have started.
    void record_grant(blackboard& board, const seat_granted& grant, const clock_reading& now);
    /// Marks all seats as free after the session was lost.
    void mark_all_seats_free(blackboard& board, time_point now);
    /// Claims `seat` if it is free, due for a claim and assigned to this host by rendezvous
    /// hashing.
    void claim_if_preferred(blackboard& board, const seat_id& seat, time_point now);

    cell_writer<time_point> session_lease_until_;
    table_writer<seat_id, seat_state> seats_;
};

} // namespace papayafall
