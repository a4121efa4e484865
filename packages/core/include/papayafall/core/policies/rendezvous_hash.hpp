#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayafall {

/// Weight of `host` for `item` in rendezvous (highest random weight) hashing.
std::uint64_t rendezvous_weight(const host_name& host, std::string_view item) noexcept;

/// Host with the highest weight for `item`, or nullptr where `hosts` is empty. When a host
/// comes or goes, only the items that it gains or had change hands.
/// Complexity: linear in the number of hosts.
const host_name* rendezvous_owner(const std::vector<host_name>& hosts, std::string_view item);

} // namespace papayafall
