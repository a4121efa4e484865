#pragma once

#include "papayafall/core/values/request_key.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace papayafall {

/// Largest size of a caller's key, in characters.
inline constexpr std::size_t max_request_key_length = 128;

/// Reads the value of `Idempotency-Key`: a ticket, a UUIDv7 (RFC 9562), or any other key of 1 to
/// 128 visible ASCII characters. One pair of double quotes around the key is not part of it. A
/// UUIDv7 becomes lower-case and carries its creation time.
/// @throws request_error (`invalid_key`) for a text that resembles a ticket and is none, or that
///         has another size or another character
request_key parse_request_key(std::string_view text);

/// Text of `key`, as `parse_request_key` reads it.
std::string encode_request_key(const request_key& key);

} // namespace papayafall
