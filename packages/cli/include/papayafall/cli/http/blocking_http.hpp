#pragma once

#include "papayafall/core/values/host.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall {

/// One HTTP header.
struct http_header {
    std::string name;
    std::string value;

    auto operator<=>(const http_header&) const = default;
};

/// HTTP method of a request to an entry host.
enum class entry_host_method { get, post };

/// HTTP request of the command line tool to an entry host.
struct entry_host_request {
    entry_host_method method = entry_host_method::get;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};

    auto operator<=>(const entry_host_request&) const = default;
};

/// HTTP response of an entry host.
struct entry_host_response {
    int status = 0; ///< HTTP status code
    std::string body;

    auto operator<=>(const entry_host_response&) const = default;
};

/// Parses "address:port".
/// @throws request_error (`malformed_request`) if `text` has another form or the port is 0
endpoint parse_endpoint(std::string_view text);

/// Sends one request to an entry host and blocks until the response arrives. A POST is sent at most
/// once: it is not repeated on a lost connection.
/// @throws request_error (`home_unreachable`) if no response arrives within the timeout
entry_host_response call_entry_host(const endpoint& host, const entry_host_request& request);

} // namespace papayafall
