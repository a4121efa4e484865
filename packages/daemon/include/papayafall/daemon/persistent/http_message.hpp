#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayafall {

/// Header fields in the order of the message.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// A whole HTTP/1.1 request.
struct http_request_message {
    std::string method;
    std::string target; ///< path and query
    header_fields headers;
    std::string body;
    bool keep_alive = true;

    auto operator<=>(const http_request_message&) const = default;

    /// Value of a header, compared without regard to case; empty where it is missing.
    std::string_view header(std::string_view name) const;
};

/// A whole HTTP/1.1 response.
struct http_reply_message {
    std::uint16_t status = 0;
    header_fields headers;
    std::string body;
    bool keep_alive = true;

    auto operator<=>(const http_reply_message&) const = default;
};

std::string encode_request(const http_request_message& request, std::string_view host);

std::string encode_reply(const http_reply_message& reply);

} // namespace papayafall
