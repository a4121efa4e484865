#pragma once

#include "papayafall/core/state/delegation_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Returns the number of slots of `peer` that this host may still use. This is a part of the free
/// slots in the peer's last heartbeat, because other hosts read the same heartbeat, minus the tasks
/// that this host has delegated to the peer since then.
std::uint32_t spare_slots(const host_state& peer, const blackboard& board,
                          const clock_reading& now);

/// Returns the sum of `spare_slots` over all peers. Complexity: linear in the number of hosts.
std::uint32_t spare_slots_of_peers(const blackboard& board, const clock_reading& now);

/// Returns the delegation state of `peer` with one more task delegated.
delegation_state after_delegation(const peer_id& peer, const blackboard& board);

/// Returns this host's share of a limit that applies over all hosts, at least 1.
///
/// The limit is split equally over the hosts in the platform's last host list or over the live
/// hosts, whichever are more. A host that loses contact with its peers still has that list, so
/// that its share does not grow.
std::uint32_t host_share_of_limit(std::uint64_t limit, const blackboard& board);

} // namespace papayafall
