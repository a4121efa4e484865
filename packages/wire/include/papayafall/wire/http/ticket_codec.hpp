#pragma once

#include "papayafall/core/values/request_key.hpp"

#include <string>
#include <string_view>

namespace papayafall {

/// Encodes a ticket as `t1.<zone>.<host>.<incarnation>.<sequence>`, with hexadecimal numbers.
std::string encode_ticket(const ticket& issued);

/// Parses a ticket; accepts only text that `encode_ticket` can produce.
/// @throws request_error (`invalid_key`) for any other text
ticket parse_ticket(std::string_view text);

/// Returns whether `text` starts with the prefix of a ticket of any version (`t`, digits, `.`).
bool has_ticket_version_prefix(std::string_view text) noexcept;

} // namespace papayafall
