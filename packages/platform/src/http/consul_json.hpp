#pragma once

#include "papayafall/platform/http/http_caller.hpp"

namespace papayafall::detail {

// Bodies of the key-value service's HTTP interface. Decoding throws platform_error
// (`platform_protocol`) on a body that the interface does not define.

bool is_missing(const http_answer& answer);

read_result decode_read(const http_answer& answer);

std::vector<stored_value> decode_list(const http_answer& answer);

/// Position in the header of the answer.
modify_index decode_index(const http_answer& answer);

bool decode_flag(const http_answer& answer);

session_id decode_session(const http_answer& answer);

/// Session that ends unless it is renewed within `ttl` and then gives back its locks.
std::string encode_session(const std::string& name, std::chrono::milliseconds ttl);

} // namespace papayafall::detail
