#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace papayafall {

/// Problem details (RFC 9457, `application/problem+json`) of a failure.
///
/// Members: `type` (`urn:papayafall:error:<name>`), `status`, `title`, `detail`, `id` (number of
/// the error), `run` (`not_run`, `ran` or `unknown`) and, where known, `retry_after_ms`.
/// @param status HTTP status of the response
/// @param now instant from which `retry_after_ms` counts
std::string encode_problem(const failure& reason, std::uint16_t status, time_point now);

/// Time from `now` until another try can succeed, rounded up to seconds for `Retry-After`; empty
/// where none is known.
std::optional<std::chrono::seconds> retry_after(const failure& reason, time_point now);

} // namespace papayafall
