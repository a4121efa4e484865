#pragma once

#include "papayafall/core/values/host.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace papayafall {

nlohmann::json encode_endpoint(const endpoint& it);

nlohmann::json encode_peer_entry(const peer_entry& it);

nlohmann::json encode_target_entry(const target_entry& it);

/// Encodes a host list as one document with the members "entry_hosts" and "targets".
nlohmann::json encode_host_list(const host_list_snapshot& hosts);

/// @param path JSON pointer of `node`, used in errors
/// @throws configuration_error with the JSON pointer of the first error
peer_entry decode_peer_entry(const nlohmann::json& node, const std::string& path);

/// @param path JSON pointer of `node`, used in errors
/// @throws configuration_error with the JSON pointer of the first error
target_entry decode_target_entry(const nlohmann::json& node, const std::string& path);

/// @param path JSON pointer of `node`, used in errors
/// @throws configuration_error with the JSON pointer of the first error
host_list_snapshot decode_host_list(const nlohmann::json& node, const std::string& path);

} // namespace papayafall
