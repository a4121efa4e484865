#pragma once

#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/messages/event.hpp"

namespace papayafall {

/// Interface for passing messages to the thread that handles them. `post` may be called from any
/// thread and never blocks.
template <typename Message>
class message_sink {
  public:
    message_sink() = default;
    message_sink(const message_sink&) = delete;
    message_sink& operator=(const message_sink&) = delete;
    virtual ~message_sink() = default;

    virtual void post(Message message) = 0;
};

using event_sink = message_sink<event>;   ///< passes events to the control thread
using action_sink = message_sink<action>; ///< passes actions of the core to their executor

} // namespace papayafall
