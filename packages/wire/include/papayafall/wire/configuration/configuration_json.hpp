#pragma once

#include "papayafall/core/values/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace papayafall {

/// JSON document of a configuration; docs/CONFIGURATION.md describes every key and its unit.
nlohmann::json encode_configuration(const configuration& content);

/// Reads a complete configuration document strictly.
/// @throws configuration_error with the JSON pointer of the first fault
configuration decode_configuration(const nlohmann::json& document);

/// Reads a complete configuration document from JSON text.
/// @throws configuration_error with the JSON pointer of the first fault
configuration parse_configuration(std::string_view text);

/// Applies an operator's intent, a merge patch (RFC 7396) over the services, teams and zones.
/// @param revision revision of the result
/// @throws configuration_error when the intent is malformed or its result is not valid
configuration apply_intent(const configuration& base, const nlohmann::json& intent,
                           revision_id revision);

} // namespace papayafall
