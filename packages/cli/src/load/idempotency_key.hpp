#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <string>

namespace papayafall::detail {

/// Creates a UUIDv7 (RFC 9562) from an instant and 74 pseudo-random bits that depend only on
/// `run_name` and `number`, so that each send of a request derives the same key.
std::string make_idempotency_key(const std::string& run_name, std::uint64_t number,
                                 wall_time created_at);

} // namespace papayafall::detail
