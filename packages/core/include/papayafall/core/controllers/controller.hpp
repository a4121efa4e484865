#pragma once

#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <string_view>

namespace papayafall {

class blackboard;

/// Interface of a controller, which makes the decisions of one area of responsibility.
///
/// A controller may read every section of the blackboard, but writes only the sections whose
/// writers it claimed on construction. It posts actions to the outbox and raises events for the
/// other controllers. It keeps no state outside the blackboard.
///
/// @tparam Board blackboard that the controller reads and writes
/// @tparam Event variant of the events that the controller handles
template <typename Board, typename Event>
class basic_controller {
  public:
    basic_controller() = default;
    basic_controller(const basic_controller&) = delete;
    basic_controller& operator=(const basic_controller&) = delete;
    virtual ~basic_controller() = default;

    /// Returns the name of the controller for logs and errors.
    virtual std::string_view name() const noexcept = 0;

    /// Handles one event.
    /// @param now time at which the event is handled
    virtual void on_event(Board& board, const Event& incoming, const clock_reading& now) = 0;

    /// Handles the deadlines that have passed by `now`.
    virtual void on_tick(Board& board, const clock_reading& now) = 0;
};

/// Controller of the request interface, as opposed to the job interface.
using controller = basic_controller<blackboard, event>;

} // namespace papayafall
