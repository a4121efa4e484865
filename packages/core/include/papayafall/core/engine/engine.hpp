#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace papayafall {

/// Runs the controllers of one process over its blackboard: events in, actions out.
///
/// The engine has no thread, no socket and no clock. The same engine runs in the daemon, in the
/// randomised runs and behind any other front end.
///
/// @tparam Board has the sections `raised` (of `Event`) and `outbox` (of `Action`)
template <typename Board, typename Event, typename Action>
class basic_engine {
  public:
    using board_type = Board;
    using event_type = Event;
    using action_type = Action;
    using controller_type = basic_controller<Board, Event>;

    /// @param controllers run in this order for every event
    basic_engine(std::unique_ptr<Board> board,
                 std::vector<std::unique_ptr<controller_type>> controllers)
        : board_(std::move(board)), controllers_(std::move(controllers))
    {
    }

    /// Handles one event and all events that the controllers raise because of it, then the
    /// deadlines that have passed.
    /// @throws invariant_error when the controllers keep raising events without end
    void handle(const Event& incoming, const clock_reading& now)
    {
        process_event(incoming, now);
        tick(now);
    }

    /// Handles a batch of events in order, then the deadlines that have passed.
    void handle(const std::vector<Event>& incoming, const clock_reading& now)
    {
        for (const Event& it : incoming) {
            process_event(it, now);
        }
        tick(now);
    }

    /// Acts on the deadlines that have passed.
    void tick(const clock_reading& now)
    {
        for (const auto& it : controllers_) {
            it->on_tick(*board_, now);
            process_raised_events(now);
        }
    }

    /// Returns the actions posted since the last call, in order.
    std::vector<Action> take_actions() { return board_->outbox.drain(); }

    const Board& board() const noexcept { return *board_; }

  private:
    /// Rounds of raised events after one event; more means that controllers feed each other.
    static constexpr std::size_t max_raised_event_rounds = 1000;

    void process_event(const Event& incoming, const clock_reading& now)
    {
        for (const auto& it : controllers_) {
            it->on_event(*board_, incoming, now);
        }
        process_raised_events(now);
    }

    /// Handles the events that controllers raised, until none is left.
    void process_raised_events(const clock_reading& now)
    {
        for (std::size_t n = 0; n < max_raised_event_rounds; ++n) {
            const std::vector<Event> raised = board_->raised.drain();
            if (raised.empty()) {
                return;
            }
            for (const Event& it : raised) {
                for (const auto& receiver : controllers_) {
                    receiver->on_event(*board_, it, now);
                }
            }
        }
        throw invariant_error("controllers raise events without end");
    }

    std::unique_ptr<Board> board_;
    std::vector<std::unique_ptr<controller_type>> controllers_;
};

/// Engine of the callers' own interface.
using engine = basic_engine<blackboard, event, action>;

} // namespace papayafall
