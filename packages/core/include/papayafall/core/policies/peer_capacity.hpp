#pragma once

#include "papayafall/core/state/delegation_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Slots of `peer` that this host may still use by the peer's last heartbeat: a part of those
/// that it reported, because other hosts read the same heartbeat, less what was delegated since.
std::uint32_t spare_slots(const host_state& peer, const blackboard& board,
                          const clock_reading& now);

/// Sum of `spare_slots` over all peers. Complexity: linear in the number of hosts.
std::uint32_t spare_slots_of_peers(const blackboard& board, const clock_reading& now);

/// State of the delegations to `peer` after one more.
delegation_state after_delegation(const peer_id& peer, const blackboard& board);

/// Part of a limit over all hosts that this host may use: an equal split over the hosts of the
/// platform's last list or those that are alive, whichever are more. A host that is cut off
/// keeps the last list and so its share. At least 1.
std::uint32_t host_share_of_limit(std::uint64_t limit, const blackboard& board);

} // namespace papayafall
