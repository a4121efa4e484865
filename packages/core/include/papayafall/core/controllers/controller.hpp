#pragma once

#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <string_view>

namespace papayafall {

class blackboard;

/// Decides one concern. A controller reads every section of the blackboard, writes only the
/// sections whose writers it claimed on construction, posts actions to the outbox and raises
/// events for the other controllers. It keeps no state of its own outside the blackboard.
///
/// @tparam Board blackboard that the controller works on
/// @tparam Event what happens to the controllers of that blackboard
template <typename Board, typename Event>
class basic_controller {
  public:
    basic_controller() = default;
    basic_controller(const basic_controller&) = delete;
    basic_controller& operator=(const basic_controller&) = delete;
    virtual ~basic_controller() = default;

    /// Name for logs and errors.
    virtual std::string_view name() const noexcept = 0;

    /// Reacts to `incoming`.
    virtual void on_event(Board& board, const Event& incoming, const clock_reading& now) = 0;

    /// Acts on the deadlines that have passed.
    virtual void on_tick(Board& board, const clock_reading& now) = 0;
};

/// Controller of the callers' own interface.
using controller = basic_controller<blackboard, event>;

} // namespace papayafall
