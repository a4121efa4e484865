#pragma once

#include "papayafall/core/messages/action.hpp"
#include "papayafall/core/values/work.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

namespace papayafall {

// Headers of the HTTP interface that targets implement.

/// Request header: remaining time of the exchange, in milliseconds.
inline constexpr const char* deadline_header = "Papayafall-Deadline-Ms";
/// Request header: exchange id, for correlating the logs of dispatcher and target.
inline constexpr const char* exchange_header = "Papayafall-Exchange";
/// Response header: set to `run_state_not_run` if the target refused the task before running any of
/// it.
inline constexpr const char* run_state_header = "Papayafall-Run";
inline constexpr const char* run_state_not_run = "not-run";
/// Response header of a refusal: set to `leaving_true` if the target is leaving and accepts no more
/// tasks.
inline constexpr const char* leaving_header = "Papayafall-Leaving";
inline constexpr const char* leaving_true = "true";

/// Encodes the start of an exchange as an HTTP request.
/// @param now current time, from which the remaining time of the exchange is computed
outbound_request encode_exchange(const start_exchange& requested, time_point now);

/// Decodes the result of the HTTP request into the outcome of the exchange.
exchange_outcome decode_exchange(const outbound_outcome& outcome);

} // namespace papayafall
