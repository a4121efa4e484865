#pragma once

#include "papayafall/core/values/time.hpp"

#include <chrono>

namespace papayafall::detail {

/// Reads the monotonic clock of this process, as the control thread does for the core.
inline time_point steady_now()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(elapsed));
}

} // namespace papayafall::detail
