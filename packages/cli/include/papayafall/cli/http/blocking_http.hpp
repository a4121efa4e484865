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

enum class entry_host_method { get, post };

/// A call of an operator's tool to an entry host.
struct entry_host_request {
    entry_host_method method = entry_host_method::get;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};

    auto operator<=>(const entry_host_request&) const = default;
};

struct entry_host_response {
    int status = 0;
    std::string body;

    auto operator<=>(const entry_host_response&) const = default;
};

/// Reads "address:port". @throws request_error (`malformed_request`) for anything else
endpoint parse_endpoint(std::string_view text);

/// Sends one request to an entry host and waits for the answer; a POST is sent at most once.
/// @throws request_error (`home_unreachable`) when no answer came within the timeout
entry_host_response call_entry_host(const endpoint& host, const entry_host_request& request);

} // namespace papayafall
