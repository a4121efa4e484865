#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"

namespace papayafall {

/// Issues tickets and lets them expire: reads `self`, writes `ticket_counters` and `ticket_batches`.
///
/// A ticket starts work only while a record of its first use would still be held.
class ticket_controller : public controller {
  public:
    explicit ticket_controller(blackboard& board);

    std::string_view name() const noexcept override { return "ticket"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void issue(blackboard& board, const tickets_requested& asked, time_point now);

    cell_writer<ticket_numbers> numbers_;
    table_writer<std::uint64_t, time_point> marks_;
};

} // namespace papayafall
