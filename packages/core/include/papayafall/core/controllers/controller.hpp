#pragma once

#include "papayafall/core/messages/event.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <string_view>

namespace papayafall {

class blackboard;

/// Decides one concern. A controller reads every section of the blackboard, writes only the
/// sections whose writers it claimed on construction, posts actions to the outbox and raises
/// events for the other controllers. It keeps no state of its own outside the blackboard.
class controller {
  public:
    controller() = default;
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    virtual ~controller() = default;

    /// Name for logs and errors.
    virtual std::string_view name() const noexcept = 0;

    /// Reacts to `incoming`.
    virtual void on_event(blackboard& board, const event& incoming, const clock_reading& now) = 0;

    /// Acts on the deadlines that have passed.
    virtual void on_tick(blackboard& board, const clock_reading& now) = 0;
};

} // namespace papayafall
