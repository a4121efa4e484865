#pragma once

#include "papayafall/core/errors/exception.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace papayafall {

/// Parses JSON text of an operator or of the platform.
/// @throws configuration_error when `text` is not valid JSON
nlohmann::json parse_json(std::string_view text);

/// Reads one JSON object strictly: wrong types, values out of range and keys that nobody asked
/// for are errors that carry a JSON pointer (RFC 6901) to the place.
class json_reader {
  public:
    /// @param node must outlive the reader
    /// @param path JSON pointer of `node`
    /// @throws configuration_error when `node` is not an object
    json_reader(const nlohmann::json& node, std::string path);

    /// Whether the object has `key` with a value other than null.
    bool has(const std::string& key) const;

    /// Child under `key`, or nullptr where it is missing or null; marks the key as known.
    const nlohmann::json* child(const std::string& key);

    /// Object under `key`. @throws configuration_error when it is missing or no object
    json_reader object(const std::string& key);

    /// @throws configuration_error when the key is missing or its value is no string
    std::string text(const std::string& key);

    std::optional<std::string> optional_text(const std::string& key);

    bool boolean(const std::string& key, bool fallback);

    /// Unsigned integer of `key`. @throws configuration_error when it is outside of [min, max]
    std::uint64_t number(const std::string& key, std::uint64_t min, std::uint64_t max);

    std::optional<std::uint64_t> optional_number(const std::string& key, std::uint64_t min,
                                                 std::uint64_t max);

    /// Number of `key` with or without a fraction, or nothing where it is missing.
    /// @throws configuration_error when it is outside of [min, max]
    std::optional<double> optional_decimal(const std::string& key, double min, double max);

    /// As `number`, with the range of `Number` from `min` on.
    template <typename Number>
    Number number_or(const std::string& key, Number fallback, std::uint64_t min = 0)
    {
        const auto found = optional_number(key, min, std::numeric_limits<Number>::max());
        return found ? static_cast<Number>(*found) : fallback;
    }

    /// As `optional_number`, with the range of `Number` from `min` on.
    template <typename Number>
    std::optional<Number> optional_number_as(const std::string& key, std::uint64_t min = 0)
    {
        const auto found = optional_number(key, min, std::numeric_limits<Number>::max());
        return found ? std::optional<Number>(static_cast<Number>(*found)) : std::nullopt;
    }

    /// JSON pointer of the child under `key`.
    std::string child_path(const std::string& key) const;

    const std::string& path() const noexcept { return path_; }

    /// Marks every key as known and returns the object, for objects whose keys are names.
    const nlohmann::json& entries();

    /// Ends the reading. @throws configuration_error on a key that was not asked for
    void reject_unknown_keys() const;

    /// @throws configuration_error for the value under `key`
    [[noreturn]] void fail(const std::string& key, const std::string& message) const;

  private:
    const nlohmann::json* node_;
    std::string path_;
    std::set<std::string> known_keys_;
};

} // namespace papayafall
