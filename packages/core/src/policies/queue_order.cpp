#include "papayafall/core/policies/queue_order.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/policies/fair_share.hpp"
#include "papayafall/core/policies/slot_policy.hpp"

namespace papayafall {

namespace {

std::uint64_t virtual_time_steps_of(const team_name& team, const blackboard& board)
{
    const team_usage* usage = board.team_usages.find(team);
    const duration start =
        usage == nullptr ? board.latest_virtual_start.get() : usage->virtual_start;
    return static_cast<std::uint64_t>(start / virtual_time_step);
}

} // namespace

queue_rank first_come_first_served_order::rank(const queued_work& /*work*/, std::uint64_t sequence,
                                               const blackboard& /*board*/,
                                               const clock_reading& /*now*/) const
{
    return queue_rank{.sequence = sequence};
}

queue_rank earliest_deadline_order::rank(const queued_work& work, std::uint64_t sequence,
                                         const blackboard& board,
                                         const clock_reading& /*now*/) const
{
    return queue_rank{.lane = is_long(work->expected_run_time) ? std::uint8_t{1} : std::uint8_t{0},
                      .urgency = static_cast<std::uint8_t>(work->item->urgency),
                      .virtual_time_steps = virtual_time_steps_of(work->item->team, board),
                      .start_by = work->start_by,
                      .sequence = sequence};
}

} // namespace papayafall
