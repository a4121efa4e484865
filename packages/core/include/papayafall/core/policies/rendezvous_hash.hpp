#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayafall {

/// 64-bit FNV-1a hash followed by a mixing step; the same in every process and on every machine.
std::uint64_t stable_hash(std::string_view text) noexcept;

/// Weight of `host` for `target` in rendezvous (highest random weight) hashing.
std::uint64_t rendezvous_weight(const host_name& host, const target_name& target);

/// Host with the highest weight for `target`, or nullptr where `hosts` is empty. When a host
/// comes or goes, only the targets that it gains or had change hands.
/// Complexity: linear in the number of hosts.
const host_name* rendezvous_owner(const std::vector<host_name>& hosts, const target_name& target);

} // namespace papayafall
