#pragma once

#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// Where the process stands between its start and its end.
struct lifecycle_state {
    bool store_reachable = false;
    bool leaving = false; ///< a graceful stop was asked for
    bool stopped = false; ///< the stop was posted
    /// The store came back, or was first reached; entries that lapsed meanwhile may return.
    time_point store_reached_at{};
    time_point leaving_since{};       ///< the graceful stop was asked for
    time_point stop_by = no_deadline; ///< of a graceful stop

    auto operator<=>(const lifecycle_state&) const = default;
};

} // namespace papayafall::jobs
