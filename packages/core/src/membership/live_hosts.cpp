#include "papayafall/core/membership/live_hosts.hpp"

#include <algorithm>

namespace papayafall {

bool is_alive(const host_state& state, time_point now) noexcept
{
    return now < state->alive_until;
}

const host_state* find_live_host(const blackboard& board, const peer_id& peer, time_point now)
{
    const host_state* state = board.hosts.find(peer.host);
    if (state == nullptr || !is_alive(*state, now)) {
        return nullptr;
    }
    return (*state)->last_heartbeat->incarnation == peer.incarnation ? state : nullptr;
}

std::vector<host_name> live_zone_hosts(const blackboard& board, time_point now)
{
    const self_state& self = board.self.get();
    std::vector<host_name> names;
    if (!self->leaving) {
        names.push_back(self->host);
    }
    for (const auto& it : board.hosts) {
        const heartbeat& beat = it.value->last_heartbeat;
        if (beat->zone != self->zone || beat->leaving || !is_alive(it.value, now)) {
            continue;
        }
        names.push_back(it.key);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace papayafall
