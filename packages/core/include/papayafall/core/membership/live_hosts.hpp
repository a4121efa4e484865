#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"

#include <vector>

namespace papayafall {

/// Returns whether the last heartbeat of the host is recent enough at `now` for it to count as
/// alive.
bool is_alive(const host_state& state, time_point now) noexcept;

/// Returns the state of the host `peer`, or nullptr if it is not alive in that incarnation.
const host_state* find_live_host(const blackboard& board, const peer_id& peer, time_point now);

/// Returns the names of the live hosts of this host's zone that are not leaving, sorted. Includes
/// this host unless it is leaving. Complexity: linearithmic in the number of known hosts.
std::vector<host_name> live_zone_hosts(const blackboard& board, time_point now);

} // namespace papayafall
