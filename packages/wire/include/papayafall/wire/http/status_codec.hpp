#pragma once

#include "papayafall/core/state/status_snapshot.hpp"
#include "papayafall/core/values/time.hpp"

#include <string>

namespace papayafall {

/// Encodes `status` as the JSON document that `GET /v1/status` returns to operators.
/// @param now time from which the remaining times, in milliseconds, count
std::string encode_status(const status_snapshot& status, time_point now);

} // namespace papayafall
