#pragma once

#include "papayafall/core/values/time.hpp"

namespace papayafall {

/// Reads the monotonic clock of this process; the same clock as the control thread's.
inline time_point steady_now() noexcept
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace papayafall
