#pragma once

#include "papayafall/platform/http/platform_http_client.hpp"

namespace papayafall::detail {

// Request and response bodies of Consul's HTTP API. The decoding functions throw platform_error
// (`platform_protocol`) if the body does not conform to the API.

bool is_not_found(const platform_http_response& response);

read_result decode_read(const platform_http_response& response);

std::vector<stored_value> decode_list(const platform_http_response& response);

/// Modify index from the X-Consul-Index header.
modify_index decode_index(const platform_http_response& response);

bool decode_boolean(const platform_http_response& response);

session_id decode_session(const platform_http_response& response);

/// Encodes the request for a session that expires unless it is renewed within `ttl` and releases
/// its locks when it ends.
std::string encode_session(const std::string& name, std::chrono::milliseconds ttl);

} // namespace papayafall::detail
