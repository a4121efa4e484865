#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <string>

namespace papayafall::detail {

/// A UUIDv7 (RFC 9562) made of an instant and 74 bits that depend only on `run` and `number`.
std::string make_idempotency_key(const std::string& run, std::uint64_t number, wall_time made_at);

} // namespace papayafall::detail
