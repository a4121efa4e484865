#pragma once

#include "papayafall/core/values/time.hpp"

#include <compare>

namespace papayafall {

/// A reading of both clocks of a process at one instant.
struct clock_reading {
    time_point steady; ///< for all deadlines and leases
    wall_time wall;    ///< for creation times in callers' keys and times shown to operators

    auto operator<=>(const clock_reading&) const = default;
};

} // namespace papayafall
