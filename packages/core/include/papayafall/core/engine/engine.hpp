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

/// Runs the controllers of one process on its blackboard: takes events and returns actions.
///
/// The engine uses no threads, sockets or clocks of its own, so that the daemon, the randomised
/// runs and any other front end can use it unchanged.
///
/// @tparam Board  blackboard with the sections `raised` (of `Event`) and `outbox` (of `Action`)
/// @tparam Event  variant of the events that the controllers handle
/// @tparam Action variant of the actions that the controllers post
template <typename Board, typename Event, typename Action>
class basic_engine {
  public:
    using board_type = Board;
    using event_type = Event;
    using action_type = Action;
    using controller_type = basic_controller<Board, Event>;

    /// @param controllers called in this order for every event
    basic_engine(std::unique_ptr<Board> board,
                 std::vector<std::unique_ptr<controller_type>> controllers)
        : board_(std::move(board)), controllers_(std::move(controllers))
    {
    }

    /// Handles one event and all events that the controllers raise in response, then the deadlines
    /// that have passed.
    /// @throws invariant_error if the controllers keep raising events endlessly
    void handle(const Event& incoming, const clock_reading& now)
    {
        process_event(incoming, now);
        tick(now);
    }

    /// Handles a batch of events in order, then the deadlines that have passed.
    /// @throws invariant_error if the controllers keep raising events endlessly
    void handle(const std::vector<Event>& incoming, const clock_reading& now)
    {
        for (const Event& it : incoming) {
            process_event(it, now);
        }
        tick(now);
    }

    /// Handles the deadlines that have passed by `now`.
    /// @throws invariant_error if the controllers keep raising events endlessly
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
    /// Maximum number of rounds of raised events in response to one event. More rounds mean that
    /// controllers trigger each other endlessly.
    static constexpr std::size_t max_raised_event_rounds = 1000;

    void process_event(const Event& incoming, const clock_reading& now)
    {
        for (const auto& it : controllers_) {
            it->on_event(*board_, incoming, now);
        }
        process_raised_events(now);
    }

    /// Handles raised events until the controllers raise no further ones.
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
        throw invariant_error("controllers keep raising events: maximum number of rounds exceeded");
    }

    std::unique_ptr<Board> board_;
    std::vector<std::unique_ptr<controller_type>> controllers_;
};

/// Engine of the request interface, as opposed to the job interface.
using engine = basic_engine<blackboard, event, action>;

} // namespace papayafall
