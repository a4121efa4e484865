#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayafall {

/// Returns the weight of `host` for `item` in rendezvous (highest random weight) hashing.
std::uint64_t rendezvous_weight(const host_name& host, std::string_view item) noexcept;

/// Returns the host with the highest weight for `item`, or nullptr if `hosts` is empty. When a
/// host joins or leaves, only the items that it takes over or gives up get another owner.
/// Complexity: linear in the number of hosts.
const host_name* rendezvous_owner(const std::vector<host_name>& hosts, std::string_view item);

} // namespace papayafall
