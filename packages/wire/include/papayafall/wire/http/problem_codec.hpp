#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace papayafall {

/// Encodes a failure as problem details (RFC 9457, `application/problem+json`).
///
/// Members: `type` (`urn:papayafall:error:<name>`), `status`, `title`, `detail`, `id` (error
/// number), `run` (`not_run`, `ran` or `unknown`) and, if known, `retry_after_ms`.
/// @param status HTTP status of the response
/// @param now time from which `retry_after_ms` counts
std::string encode_problem(const failure& reason, std::uint16_t status, time_point now);

/// Returns the time from `now` until a retry can succeed, rounded up to seconds for the header
/// `Retry-After`, or empty if that time is unknown.
std::optional<std::chrono::seconds> retry_after(const failure& reason, time_point now);

} // namespace papayafall
