#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"

#include <vector>

namespace papayafall {

/// Whether `state` counts as alive at `now`.
bool is_alive(const host_state& state, time_point now) noexcept;

/// Returns the state of the incarnation `peer` while it is alive, or nullptr.
const host_state* find_live_host(const blackboard& board, const peer_id& peer, time_point now);

/// Names of the live hosts of this host's zone that take work, in order, this host included
/// unless it is leaving. Complexity: linear in the number of known hosts.
std::vector<host_name> live_zone_hosts(const blackboard& board, time_point now);

} // namespace papayafall
