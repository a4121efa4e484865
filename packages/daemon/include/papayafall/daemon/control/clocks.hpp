#pragma once

#include "papayafall/core/values/clock_reading.hpp"

namespace papayafall {

/// Reads the monotonic clock and the wall clock of this process.
clock_reading read_clocks();

} // namespace papayafall
