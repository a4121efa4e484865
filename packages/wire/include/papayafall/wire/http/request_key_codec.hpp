#pragma once

#include "papayafall/core/values/request_key.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace papayafall {

/// Maximum length of a caller's key, in characters.
inline constexpr std::size_t max_request_key_length = 128;

/// Parses the value of `Idempotency-Key`: a ticket, a UUIDv7 (RFC 9562), or any other key of 1 to
/// 128 visible ASCII characters. One pair of double quotes around the key is not part of it. A
/// UUIDv7 is converted to lower case, and its creation time is decoded.
/// @throws request_error (`invalid_key`) if the text has a ticket version prefix but is not a valid
///         ticket, has another length, or contains other characters
request_key parse_request_key(std::string_view text);

/// Encodes `key` as text that `parse_request_key` accepts.
std::string encode_request_key(const request_key& key);

} // namespace papayafall
