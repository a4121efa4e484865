#pragma once

#include "papayafall/core/values/time.hpp"

#include <chrono>

namespace papayafall {

/// Reads the monotonic clock of this process; callable from any thread.
inline time_point steady_now() noexcept
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(elapsed));
}

} // namespace papayafall
