#pragma once

#include "papayafall/core/state/status_snapshot.hpp"
#include "papayafall/core/values/time.hpp"

#include <string>

namespace papayafall {

/// JSON of `status` for operators, as `GET /v1/status` returns it.
/// @param now instant from which remaining times, in milliseconds, count
std::string encode_status(const status_snapshot& status, time_point now);

} // namespace papayafall
