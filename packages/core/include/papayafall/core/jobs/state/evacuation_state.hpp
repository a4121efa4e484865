#pragma once

#include "papayafall/core/jobs/values/zone_evacuation.hpp"
#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// Newest request to evacuate a zone that this host knows of.
struct evacuation_state {
    zone_evacuation request;
    store_revision listed_revision; ///< of the request that the store last listed to this host
    time_point changed_at{};        ///< when the zone was first evacuated, or the request ended

    auto operator<=>(const evacuation_state&) const = default;
};

} // namespace papayafall::jobs
