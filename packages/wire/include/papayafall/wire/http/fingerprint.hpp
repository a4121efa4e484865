#pragma once

#include "papayafall/core/values/request.hpp"

#include <cstdint>
#include <vector>

namespace papayafall {

/// The two ways to submit work.
enum class request_kind : std::uint8_t { single, job };

/// Hash (XXH3, 64 bits) over service, team, kind and the bodies, each with its size.
/// It is the same on every host. Complexity: linear in the size of the bodies.
std::uint64_t request_fingerprint(const service_name& service, const team_name& team,
                                  request_kind kind, const std::vector<task>& tasks);

} // namespace papayafall
