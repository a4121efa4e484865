#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace papayafall {

/// Maximum nesting depth of arrays and objects in JSON from callers.
inline constexpr std::size_t max_json_depth = 64;

/// Parses untrusted JSON from a caller.
/// @throws request_error (`malformed_request`) for a syntax error, duplicate keys, invalid UTF-8,
///         numbers out of range, or nesting deeper than `max_json_depth`
/// Complexity: linear in the size of `text`, times the logarithm of the number of keys of one
/// object.
nlohmann::json parse_caller_json(std::string_view text);

} // namespace papayafall
