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

/// A request as the HTTP library read it.
struct http_request {
    const std::string method; ///< in capitals
    const std::string path;   ///< as sent, without the query
    const request_headers headers;
    const std::string body;

    auto operator<=>(const http_request&) const = default;
};

/// A caller submits work.
struct submit_call {
    const request_kind kind = request_kind::single;
    const request content;

    auto operator<=>(const submit_call&) const = default;
};

/// A caller cancels a submission.
struct cancel_call {
    const request_key key;

    auto operator<=>(const cancel_call&) const = default;
};

/// A caller asks for tickets.
struct tickets_call {
    const std::uint32_t count = 1;

    auto operator<=>(const tickets_call&) const = default;
};

/// What the front end answers by itself.
enum class monitoring_page : std::uint8_t { health, readiness, metrics, status };

/// Everything that a caller can ask for.
using caller_request = std::variant<submit_call, cancel_call, tickets_call, monitoring_page>;

/// Reads what a caller asks for from method, path, headers and body.
/// @param now instant from which the caller's deadline counts
/// @throws request_error (`not_found` for an unknown path or method)
caller_request decode_caller_request(const http_request& incoming, time_point now);

/// How the answer to a call is shown.
enum class answer_format : std::uint8_t {
    single,       ///< the body that the target returned
    job,          ///< JSON with one entry for each task
    cancellation, ///< JSON that tells whether the request was cancelled, and what had run
    tickets,      ///< JSON with the tickets
};

/// The response for `result`.
/// @param now instant from which the time until a retry counts
http_response encode_answer(const answer& result, answer_format format, time_point now);

} // namespace papayafall
