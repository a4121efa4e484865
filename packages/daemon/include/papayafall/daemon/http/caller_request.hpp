#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/request_key.hpp"
#include "papayafall/daemon/http/http_response.hpp"
#include "papayafall/wire/http/fingerprint.hpp"
#include "papayafall/wire/http/request_codec.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace papayafall {

/// An HTTP request as parsed by the HTTP library.
struct http_request {
    const std::string method; ///< in upper case
    const std::string path;   ///< percent-encoded as received, without the query
    const request_headers headers;
    const std::string body;

    auto operator<=>(const http_request&) const = default;
};

/// Submission of a single request or a job.
struct submit_call {
    const request_kind kind = request_kind::single;
    const request content;

    auto operator<=>(const submit_call&) const = default;
};

/// Cancellation of an earlier submission.
struct cancel_call {
    const request_key key;

    auto operator<=>(const cancel_call&) const = default;
};

/// Request for tickets.
struct tickets_call {
    const std::uint32_t count = 1;

    auto operator<=>(const tickets_call&) const = default;
};

/// Pages that the front end serves without involving the core.
enum class monitoring_page : std::uint8_t { health, readiness, metrics, status };

/// Any decoded request of a caller.
using caller_request = std::variant<submit_call, cancel_call, tickets_call, monitoring_page>;

/// Decodes a caller's request from its method, path, headers and body.
/// @param now time of receipt; the caller's relative deadline starts here
/// @throws request_error if the request is invalid (`not_found` for an unknown path or method)
caller_request decode_caller_request(const http_request& incoming, time_point now);

/// Response format of a call.
enum class answer_format : std::uint8_t {
    single,       ///< the response body of the target, unchanged
    job,          ///< JSON with one entry per task
    cancellation, ///< JSON with the result of the cancellation and the run state
    tickets,      ///< JSON with the issued tickets
};

/// Encodes the answer to a call as an HTTP response.
/// @param now current time, from which `Retry-After` is computed
http_response encode_answer(const answer& result, answer_format format, time_point now);

} // namespace papayafall
