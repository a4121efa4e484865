#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace papayafall {

/// Maximum nesting depth of arrays and objects in JSON from callers.
inline constexpr std::size_t max_json_depth = 64;

/// Parses JSON that a caller sent. Duplicate keys, invalid UTF-8, numbers out of range and
/// nesting deeper than `max_json_depth` are rejected.
/// @throws request_error (`malformed_request`) for each of these and for any syntax error
/// Complexity: linear in the size of `text`, times the logarithm of the keys of one object.
nlohmann::json parse_caller_json(std::string_view text);

/// Whether arrays and objects nest deeper than `max_json_depth`. The library copies values
/// recursively, so that a deep document would overflow the stack. Complexity: linear.
bool nests_too_deep(std::string_view text) noexcept;

/// Parses JSON that another program has written.
/// @return a discarded value if the text is not valid JSON or nests too deep
nlohmann::json parse_foreign_json(std::string_view text);

} // namespace papayafall
