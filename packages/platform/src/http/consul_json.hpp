#pragma once

#include "papayafall/platform/http/platform_http_client.hpp"

namespace papayafall::detail {

// Bodies of the key-value service's HTTP interface. Decoding throws platform_error
// (`platform_protocol`) on a body that the interface does not define.

bool is_not_found(const platform_http_response& answer);

read_result decode_read(const platform_http_response& answer);

std::vector<stored_value> decode_list(const platform_http_response& answer);

/// Position in the header of the answer.
modify_index decode_index(const platform_http_response& answer);

bool decode_boolean(const platform_http_response& answer);

session_id decode_session(const platform_http_response& answer);

/// Session that ends unless it is renewed within `ttl` and then gives back its locks.
std::string encode_session(const std::string& name, std::chrono::milliseconds ttl);

} // namespace papayafall::detail
