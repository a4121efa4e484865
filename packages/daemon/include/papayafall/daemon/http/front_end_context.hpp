#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/http/front_end_metrics.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <prometheus/registry.h>

namespace papayafall {

/// Objects shared by the front-end threads; they must outlive the threads.
struct front_end_context {
    const clock_source& clock;
    event_sink& events;
    front_end_metrics& metrics;
    prometheus::Registry& registry; ///< served at `/metrics`
};

} // namespace papayafall
