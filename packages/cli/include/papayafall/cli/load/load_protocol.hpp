#pragma once

#include "papayafall/cli/load/load_sample.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

namespace papayafall {

/// Encodes a sending of `planned` for the entry host `server`.
/// @param key value of `Idempotency-Key`; empty for none
/// @param deadline instant at which the caller gives up
outbound_request encode_load_request(const planned_request& planned, load_send_kind kind,
                                     const load_plan& plan, const endpoint& server,
                                     const std::string& key, time_point deadline);

/// Judges the end of a sending of `planned`.
/// @param response time from the planned instant to the answer
load_outcome classify_load_answer(const planned_request& planned, load_send_kind kind,
                                  const outbound_outcome& outcome, duration response_time);

} // namespace papayafall
