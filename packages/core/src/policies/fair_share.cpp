#include "papayafall/core/policies/fair_share.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/policies/slot_policy.hpp"

namespace papayafall {

duration system_virtual_time(const blackboard& board, const work_item& work, duration expected)
{
    const queue_rank first_rank{.lane = is_long(expected) ? std::uint8_t{1} : std::uint8_t{0},
                                .urgency = static_cast<std::uint8_t>(work->urgency),
                                .start_by = time_point::min()};
    const auto it = board.queue.lower_bound(first_rank);
    const bool has_waiting_task = it != board.queue.end() && it->key.lane == first_rank.lane &&
                                  it->key.urgency == first_rank.urgency;
    if (!has_waiting_task) {
        return board.latest_virtual_start.get();
    }
    return virtual_time_step * static_cast<duration::rep>(it->key.virtual_time_steps);
}

} // namespace papayafall
