#pragma once

#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/values/work.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

namespace papayafall {

// The HTTP interface that targets serve.

/// Remaining time of the exchange, in milliseconds.
inline constexpr const char* deadline_header = "Papayafall-Deadline-Ms";
/// Number of the exchange, for the logs of both sides.
inline constexpr const char* exchange_header = "Papayafall-Exchange";
/// Present with `run_not_run` on an answer that refuses a task before anything of it ran.
inline constexpr const char* run_header = "Papayafall-Run";
inline constexpr const char* run_not_run = "not-run";
/// Present with `leaving_true` on a refusal by a target that accepts nothing any more.
inline constexpr const char* leaving_header = "Papayafall-Leaving";
inline constexpr const char* leaving_true = "true";

/// Encodes a task for its target.
outbound_request encode_exchange(const start_exchange& requested, time_point now);

/// Decodes how the exchange ended.
exchange_outcome decode_exchange(const outbound_outcome& outcome);

} // namespace papayafall
