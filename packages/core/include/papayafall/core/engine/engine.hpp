#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <memory>
#include <vector>

namespace papayafall {

/// Runs the controllers of one process over its blackboard: events in, actions out.
///
/// The engine has no thread, no socket and no clock. The same engine runs in the daemon, in the
/// randomised runs and behind any other front end.
class engine {
  public:
    /// @param controllers run in this order for every event
    engine(std::unique_ptr<blackboard> board, std::vector<std::unique_ptr<controller>> controllers);

    /// Handles one event and all events that the controllers raise because of it, then the
    /// deadlines that have passed.
    /// @throws invariant_error when the controllers keep raising events without end
    void handle(const event& incoming, const clock_reading& now);

    /// Handles a batch of events in order, then the deadlines that have passed.
    void handle(const std::vector<event>& incoming, const clock_reading& now);

    /// Acts on the deadlines that have passed.
    void tick(const clock_reading& now);

    /// Returns the actions posted since the last call, in order.
    std::vector<action> take_actions();

    const blackboard& board() const noexcept { return *board_; }

  private:
    void process(const event& incoming, const clock_reading& now);
    /// Handles the events that controllers raised, until none is left.
    void settle(const clock_reading& now);

    std::unique_ptr<blackboard> board_;
    std::vector<std::unique_ptr<controller>> controllers_;
};

} // namespace papayafall
