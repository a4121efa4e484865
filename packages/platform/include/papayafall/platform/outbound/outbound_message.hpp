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
struct outbound_header {
    std::string name;
    std::string value;

    auto operator<=>(const outbound_header&) const = default;
};

enum class outbound_method : std::uint8_t { post, get, remove };

struct outbound_request_fields {
    endpoint server;
    outbound_method method = outbound_method::post;
    std::string path; ///< begins with '/'
    std::vector<outbound_header> headers;
    bytes body; ///< used only with `post`
    /// Time at which the request fails if no response has arrived.
    time_point deadline = no_deadline;
    /// Whether to use a new connection for this request alone. A server may close an idle
    /// connection while a request is being sent on it, which leaves the outcome of that request
    /// unknown.
    bool new_connection = false;

    auto operator<=>(const outbound_request_fields&) const = default;
};

/// Request to a server identified by address and port.
using outbound_request = value<outbound_request_fields>;

struct outbound_response_fields {
    std::uint16_t status = 0;
    std::vector<outbound_header> headers;
    bytes body;

    auto operator<=>(const outbound_response_fields&) const = default;
};

/// Response that was received completely.
using outbound_response = value<outbound_response_fields>;

/// Returns the value of the first header named `name` (compared case-insensitively), or nothing.
std::optional<std::string_view> find_header(const outbound_response& response,
                                            std::string_view name);

/// Reason why a request got no complete response.
enum class outbound_failure : std::uint8_t {
    not_sent,         ///< no byte of the request was written
    connection_lost,  ///< the connection broke after a byte may have been written
    no_answer,        ///< the deadline passed after a byte may have been written
    answer_too_large, ///< the response body exceeds the size limit
    answer_malformed, ///< no HTTP response, or one that does not state its length, so that
                      ///< truncation would not show
};

/// Result of a request.
using outbound_outcome = std::variant<outbound_response, outbound_failure>;

} // namespace papayafall
