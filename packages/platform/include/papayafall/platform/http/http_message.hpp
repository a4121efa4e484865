#pragma once

#include "papayafall/core/values/bytes.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayafall {

/// One header field of a request or a response.
struct http_header {
    std::string name;
    std::string value;

    auto operator<=>(const http_header&) const = default;
};

struct http_request_fields {
    endpoint server;
    std::string path; ///< begins with '/'
    std::vector<http_header> headers;
    bytes body;
    /// Instant at which the exchange ends without an answer.
    time_point deadline = no_deadline;

    auto operator<=>(const http_request_fields&) const = default;
};

/// A POST to a server that is named by address and port.
using http_request = value<http_request_fields>;

struct http_response_fields {
    std::uint16_t status = 0;
    std::vector<http_header> headers;
    bytes body;

    auto operator<=>(const http_response_fields&) const = default;
};

/// A response that arrived whole.
using http_response = value<http_response_fields>;

/// Returns the value of the header `name`, compared without case, or nothing.
std::optional<std::string_view> find_header(const http_response& response, std::string_view name);

/// Why a request got no whole response.
enum class http_failure : std::uint8_t {
    not_sent,         ///< no byte of the body was written
    connection_lost,  ///< the connection broke after a byte may have been written
    no_answer,        ///< the deadline passed first, after a byte may have been written
    answer_too_large, ///< the response is longer than the limit
    answer_malformed, ///< the response does not tell its length, so that it cannot be known whole
};

/// How a request ended.
using http_outcome = std::variant<http_response, http_failure>;

} // namespace papayafall
