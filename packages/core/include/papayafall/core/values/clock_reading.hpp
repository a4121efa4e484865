#pragma once

#include "papayafall/core/values/time.hpp"

#include <compare>

namespace papayafall {

/// Both clocks of a process, read together.
struct clock_reading {
    time_point steady; ///< for every deadline and lease
    wall_time wall;    ///< only for the creation times that callers' keys carry

    auto operator<=>(const clock_reading&) const = default;
};

} // namespace papayafall
