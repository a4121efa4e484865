#include "papayafall/core/policies/fair_share.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/policies/slot_policy.hpp"

namespace papayafall {

duration system_virtual_time(const blackboard& board, const work_item& work, duration expected)
{
    const queue_rank first{.lane = is_long(expected) ? std::uint8_t{1} : std::uint8_t{0},
                           .urgency = static_cast<std::uint8_t>(work->urgency),
                           .start_by = time_point::min()};
    const auto it = board.queue.lower_bound(first);
    const bool waits =
        it != board.queue.end() && it->key.lane == first.lane && it->key.urgency == first.urgency;
    if (!waits) {
        return board.latest_virtual_start.get();
    }
    return virtual_time_step * static_cast<duration::rep>(it->key.virtual_time_steps);
}

} // namespace papayafall
