#pragma once

#include "papayafall/core/values/request_key.hpp"

#include <string>
#include <string_view>

namespace papayafall {

/// Text of `issued`: `t1.<zone>.<host>.<incarnation>.<sequence>`, both numbers in hexadecimal.
std::string encode_ticket(const ticket& issued);

/// Reads the text of a ticket; only the exact text that `encode_ticket` makes is accepted.
/// @throws request_error (`invalid_key`) for any other text
ticket parse_ticket(std::string_view text);

/// Whether `text` claims to be a ticket of any version (`t`, digits, `.`).
bool has_ticket_version_prefix(std::string_view text) noexcept;

} // namespace papayafall
