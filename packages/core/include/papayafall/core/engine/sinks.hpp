#pragma once

#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/messages/event.hpp"

namespace papayafall {

/// Takes events to the control thread. `post` may be called from any thread and never blocks.
class event_sink {
  public:
    event_sink() = default;
    event_sink(const event_sink&) = delete;
    event_sink& operator=(const event_sink&) = delete;
    virtual ~event_sink() = default;

    virtual void post(event incoming) = 0;
};

/// Carries out actions of the core. `post` may be called from any thread and never blocks.
class action_sink {
  public:
    action_sink() = default;
    action_sink(const action_sink&) = delete;
    action_sink& operator=(const action_sink&) = delete;
    virtual ~action_sink() = default;

    virtual void post(action requested) = 0;
};

} // namespace papayafall
