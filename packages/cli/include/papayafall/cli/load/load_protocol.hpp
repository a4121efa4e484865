#pragma once

#include "papayafall/cli/load/load_sample.hpp"
#include "papayafall/platform/outbound/outbound_message.hpp"

namespace papayafall {

/// Encodes the first submission, the resubmission or the cancellation of `planned` for the entry
/// host `server`.
/// @param key value of `Idempotency-Key`; no header if empty
/// @param deadline instant at which the caller stops waiting for the response
outbound_request encode_load_request(const planned_request& planned, load_send_kind kind,
                                     const load_plan& plan, const endpoint& server,
                                     const std::string& key, time_point deadline);

/// Classifies the result of one send of `planned`.
/// @param response_time time from the planned instant of the send to the answer
load_outcome classify_load_answer(const planned_request& planned, load_send_kind kind,
                                  const outbound_outcome& outcome, duration response_time);

} // namespace papayafall
