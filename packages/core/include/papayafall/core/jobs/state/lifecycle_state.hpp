#pragma once

#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// Lifecycle of the process.
struct lifecycle_state {
    bool store_reachable = false;
    bool leaving = false; ///< a graceful stop was requested
    bool stopped = false; ///< the end of the process was initiated
    /// When the store was last reached after an outage, or for the first time. Entries whose leases
    /// expired during the outage may be written again after it.
    time_point store_reached_at{};
    time_point leaving_since{};       ///< when the graceful stop was requested
    time_point stop_by = no_deadline; ///< deadline of a graceful stop

    auto operator<=>(const lifecycle_state&) const = default;
};

} // namespace papayafall::jobs
