#pragma once

#include "papayafall/core/values/request.hpp"

#include <cstdint>
#include <vector>

namespace papayafall {

/// Whether a request submits one task as an opaque body or a job of several tasks.
enum class request_kind : std::uint8_t { single, job };

/// Returns a hash (64-bit XXH3) of service, team, kind and task bodies, each prefixed by its size.
/// The hash is the same on every host. Complexity: linear in the size of the bodies.
std::uint64_t request_fingerprint(const service_name& service, const team_name& team,
                                  request_kind kind, const std::vector<task>& tasks);

} // namespace papayafall
