#include "papayafall/core/policies/overflow_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/policies/peer_capacity.hpp"

#include <utility>

namespace papayafall {

std::optional<peer_id> no_overflow::select(const work_item& /*work*/, const blackboard& /*board*/,
                                           const clock_reading& /*now*/) const
{
    return std::nullopt;
}

std::optional<peer_id> most_free_slots_overflow::select(const work_item& /*work*/,
                                                        const blackboard& board,
                                                        const clock_reading& now) const
{
    std::optional<peer_id> best;
    std::pair<bool, std::uint32_t> best_rank{};
    for (const auto& it : board.hosts) {
        const heartbeat& beat = it.value->last_heartbeat;
        const std::uint32_t spare = spare_slots(it.value, board, now);
        if (spare == 0) {
            continue;
        }
        const std::pair rank(beat->zone == board.self.get()->zone, spare);
        if (best && rank <= best_rank) {
            continue;
        }
        best = peer_id{.host = beat->host, .incarnation = beat->incarnation};
        best_rank = rank;
    }
    return best;
}

} // namespace papayafall
