#include "papayafall/core/policies/peer_capacity.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>
#include <limits>

namespace papayafall {

namespace {

/// One free slot in this many is left to the other hosts that read the same heartbeat.
constexpr std::uint32_t slots_per_reserved_slot = 4;

} // namespace

std::uint32_t spare_slots(const host_state& peer, const blackboard& board, const clock_reading& now)
{
    const heartbeat& beat = peer->last_heartbeat;
    if (beat->leaving || peer->alive_until <= now.steady) {
        return 0;
    }
    const std::uint32_t usable = beat->free_slots - beat->free_slots / slots_per_reserved_slot;
    const delegation_state* delegated =
        board.delegations.find(peer_id{.host = beat->host, .incarnation = beat->incarnation});
    if (delegated == nullptr || delegated->heartbeat_sequence != beat->sequence) {
        return usable;
    }
    return usable - std::min(usable, delegated->tasks);
}

std::uint32_t spare_slots_of_peers(const blackboard& board, const clock_reading& now)
{
    std::uint32_t sum = 0;
    for (const auto& it : board.hosts) {
        sum += spare_slots(it.value, board, now);
    }
    return sum;
}

delegation_state after_delegation(const peer_id& peer, const blackboard& board)
{
    const host_state* known = board.hosts.find(peer.host);
    const std::uint64_t sequence = known == nullptr ? 0 : (*known)->last_heartbeat->sequence;
    const delegation_state* before = board.delegations.find(peer);
    if (before == nullptr || before->heartbeat_sequence != sequence) {
        return delegation_state{.heartbeat_sequence = sequence, .tasks = 1};
    }
    return delegation_state{.heartbeat_sequence = sequence, .tasks = before->tasks + 1};
}

std::uint32_t host_share_of_limit(std::uint64_t limit, const blackboard& board)
{
    const std::size_t alive = board.hosts.size() + 1;
    const std::size_t listed = board.host_list.get()->peers.size();
    const std::uint64_t share = limit / std::max(alive, listed);
    constexpr std::uint64_t max_share = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(share, 1, max_share));
}

} // namespace papayafall
