#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <string>

namespace papayafall::detail {

/// Creates a UUIDv7 (RFC 9562) from an instant and 74 pseudo-random bits that depend only on `run`
/// and `number`, so that each send of a request derives the same key.
std::string make_idempotency_key(const std::string& run, std::uint64_t number, wall_time made_at);

} // namespace papayafall::detail
