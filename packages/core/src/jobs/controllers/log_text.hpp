#pragma once

#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <string>

namespace papayafall::jobs {

/// A duration in whole milliseconds, as log lines show it.
inline std::string milliseconds_of(duration it)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
}

} // namespace papayafall::jobs
