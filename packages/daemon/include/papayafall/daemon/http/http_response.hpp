#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace papayafall {

/// An HTTP response to a caller.
struct http_response {
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::optional<std::chrono::seconds> retry_after;
    /// Status code that the target returned, for a single request.
    std::optional<std::uint16_t> task_status;

    auto operator<=>(const http_response&) const = default;
};

/// Properties of the connection and the request that affect the encoding of a response.
struct response_framing {
    bool keep_alive = true;    ///< the connection stays open after the response
    bool without_body = false; ///< the response is to a HEAD request

    auto operator<=>(const response_framing&) const = default;
};

/// Creates an error response with problem details (`application/problem+json`).
/// @param status HTTP status of the response
/// @param now current time, from which `Retry-After` is computed
http_response problem_response(const failure& reason, std::uint16_t status, time_point now);

/// Creates an error response with the HTTP status assigned to the error's id.
http_response problem_response(const failure& reason, time_point now);

/// Encodes `response` as an HTTP/1.1 message.
std::string encode_response(const http_response& response, const response_framing& framing);

} // namespace papayafall
