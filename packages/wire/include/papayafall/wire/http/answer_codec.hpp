#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/request_key.hpp"

#include <string>
#include <vector>

namespace papayafall {

/// Encodes the body of the answer to a job: `{"answers": [{"status": n, "body": ...}, ...]}`, one
/// for each task in the order of the request.
///
/// A task body that is a JSON object or array is embedded unchanged. Any other UTF-8 text is
/// encoded as a JSON string, and other bytes as Base64 in `"body_base64"` instead of `"body"`.
/// Complexity: linear in the size of the bodies.
std::string encode_job_answer(const completion& result);

/// Encodes the body of the answer to a request for tickets: `{"tickets": ["t1...", ...]}`.
std::string encode_tickets(const std::vector<ticket>& tickets);

} // namespace papayafall
