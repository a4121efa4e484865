#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayafall {

/// Header fields (name and value) in the order of the message.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// A complete HTTP/1.1 request.
struct http_request_message {
    std::string method;
    std::string target; ///< path and query
    header_fields headers;
    std::string content_type = "application/json"; ///< sent with a body only
    std::string body;
    bool keep_alive = true;

    auto operator<=>(const http_request_message&) const = default;

    /// Value of the first header with a name, which is compared case-insensitively; empty if there
    /// is none.
    std::string_view header(std::string_view name) const;
};

/// A complete HTTP/1.1 response.
struct http_reply_message {
    std::uint16_t status = 0;
    header_fields headers;
    std::string body;
    bool keep_alive = true;

    auto operator<=>(const http_reply_message&) const = default;
};

/// Serializes a request; `Host`, `Content-Length`, with a body `Content-Type`, and without
/// keep-alive `Connection: close` are added.
std::string encode_request(const http_request_message& request, std::string_view host);

/// Serializes a response; `Content-Length`, with a body `Content-Type`, and without keep-alive
/// `Connection: close` are added.
std::string encode_reply(const http_reply_message& reply);

} // namespace papayafall
