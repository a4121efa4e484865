#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Issues tickets and expires them: reads `self`, writes `ticket_counters` and `ticket_batches`.
///
/// A ticket is an idempotency key issued by this process. It may start work only for as long as the
/// record of an earlier use would still be held, so that no ticket starts work twice.
class ticket_controller : public controller {
  public:
    explicit ticket_controller(blackboard& board);

    std::string_view name() const noexcept override { return "ticket"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Issues `received.count` tickets and records them as one batch, which expires after
    /// `key_lifetime`.
    void handle_ticket_request(blackboard& board, const tickets_requested& received,
                               time_point now);

    cell_writer<ticket_numbers> counters_;
    table_writer<std::uint64_t, time_point> ticket_batches_;
};

} // namespace papayafall
