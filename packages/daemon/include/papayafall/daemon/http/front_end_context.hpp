#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/http/front_end_metrics.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <prometheus/registry.h>

namespace papayafall {

/// What the front-end threads share; each member outlives them.
struct front_end_context {
    const clock_source& clock;
    event_sink& events;
    front_end_metrics& metrics;
    prometheus::Registry& registry; ///< shown at `/metrics`
};

} // namespace papayafall
