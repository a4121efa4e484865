#pragma once

#include "papayafall/core/values/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace papayafall {

/// Encodes a configuration as a JSON document; docs/CONFIGURATION.md describes each key and unit.
nlohmann::json encode_configuration(const configuration& content);

/// Decodes a complete configuration document; unknown keys and invalid values are errors.
/// @throws configuration_error with the JSON pointer of the first error
configuration decode_configuration(const nlohmann::json& document);

/// Decodes a complete configuration document from JSON text.
/// @throws configuration_error with the JSON pointer of the first error
configuration parse_configuration(std::string_view text);

/// Applies the change that an operator wants: a JSON merge patch (RFC 7396) for the services, teams
/// and zones.
/// @param revision revision of the result
/// @throws configuration_error if the patch is malformed or the result is invalid
configuration apply_intent(const configuration& base, const nlohmann::json& intent,
                           revision_id revision);

} // namespace papayafall
