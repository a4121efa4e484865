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

/// Parses JSON text from an operator or from the platform.
/// @throws configuration_error if `text` is not valid JSON
nlohmann::json parse_json(std::string_view text);

/// Strict reader of one JSON object: wrong types, values out of range and keys that were never
/// read are errors with the JSON pointer (RFC 6901) of the value.
class json_reader {
  public:
    /// @param node must outlive the reader
    /// @param path JSON pointer of `node`
    /// @throws configuration_error if `node` is not an object
    json_reader(const nlohmann::json& node, std::string path);

    /// Returns whether the object has a value other than null under `key`.
    bool has(const std::string& key) const;

    /// Returns the value under `key`, or nullptr if it is missing or null. Marks the key as known.
    const nlohmann::json* child(const std::string& key);

    /// Returns a reader of the object under `key`.
    /// @throws configuration_error if the value is missing or not an object
    json_reader object(const std::string& key);

    /// Returns the string under `key`.
    /// @throws configuration_error if the value is missing or not a string
    std::string text(const std::string& key);

    /// Returns the string under `key`, or empty if it is missing or null.
    /// @throws configuration_error if the value is not a string
    std::optional<std::string> optional_text(const std::string& key);

    /// Returns the boolean under `key`, or `fallback` if it is missing or null.
    /// @throws configuration_error if the value is not a boolean
    bool boolean(const std::string& key, bool fallback);

    /// Returns the unsigned integer under `key`.
    /// @throws configuration_error if the value is missing or outside [min, max]
    std::uint64_t number(const std::string& key, std::uint64_t min, std::uint64_t max);

    /// Returns the unsigned integer under `key`, or empty if it is missing or null.
    /// @throws configuration_error if the value is outside [min, max]
    std::optional<std::uint64_t> optional_number(const std::string& key, std::uint64_t min,
                                                 std::uint64_t max);

    /// Returns the number under `key`, which may have a fraction, or empty if it is missing or
    /// null.
    /// @throws configuration_error if the value is outside [min, max]
    std::optional<double> optional_decimal(const std::string& key, double min, double max);

    /// Returns the unsigned integer under `key`, or `fallback` if it is missing or null. Its range
    /// is from `min` to the maximum of `Number`.
    template <typename Number>
    Number number_or(const std::string& key, Number fallback, std::uint64_t min = 0)
    {
        const auto found = optional_number(key, min, std::numeric_limits<Number>::max());
        return found ? static_cast<Number>(*found) : fallback;
    }

    /// As `optional_number`, with a range from `min` to the maximum of `Number`.
    template <typename Number>
    std::optional<Number> optional_number_as(const std::string& key, std::uint64_t min = 0)
    {
        const auto found = optional_number(key, min, std::numeric_limits<Number>::max());
        return found ? std::optional<Number>(static_cast<Number>(*found)) : std::nullopt;
    }

    /// Returns the JSON pointer of the value under `key`.
    std::string child_path(const std::string& key) const;

    /// Returns the JSON pointer of the object.
    const std::string& path() const noexcept { return path_; }

    /// Returns the object and marks all keys as known. For objects whose keys are arbitrary names.
    const nlohmann::json& entries();

    /// Checks that the object has no other keys than those that were read; call it last.
    /// @throws configuration_error for the first unknown key
    void reject_unknown_keys() const;

    /// Reports an error in the value under `key`.
    /// @throws configuration_error always
    [[noreturn]] void fail(const std::string& key, const std::string& message) const;

  private:
    const nlohmann::json* node_;
    std::string path_;
    std::set<std::string> known_keys_;
};

} // namespace papayafall
