#pragma once

#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// A response as the front end writes it to a caller.
struct http_response {
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::optional<std::chrono::seconds> retry_after;
    /// Status that a target gave to the only task of a request.
    std::optional<std::uint16_t> task_status;

    auto operator<=>(const http_response&) const = default;
};

/// How a response is framed on its connection.
struct response_framing {
    bool keep_alive = true;    ///< another request may follow on the connection
    bool without_body = false; ///< the request was a HEAD

    auto operator<=>(const response_framing&) const = default;
};

/// The response that tells a caller of a failure (`application/problem+json`).
/// @param status HTTP status of the response
/// @param now instant from which the time until a retry counts
http_response problem_response(const failure& reason, std::uint16_t status, time_point now);

/// The response that tells a caller of a failure, with the HTTP status of its error.
http_response problem_response(const failure& reason, time_point now);

/// HTTP/1.1 message of `response`.
std::string encode_response(const http_response& response, const response_framing& framing);

/// Standard reason phrase of an HTTP status.
std::string_view reason_phrase(std::uint16_t status) noexcept;

} // namespace papayafall
