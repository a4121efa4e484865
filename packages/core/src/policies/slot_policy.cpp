#include "papayafall/core/policies/slot_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint64_t permille = 1000;
constexpr std::uint8_t long_lane = 1;

/// Returns a share of `slots`, at least 1.
std::uint32_t share_of(std::uint32_t slots, std::uint32_t share_permille)
{
    const std::uint64_t share = std::uint64_t{slots} * share_permille / permille;
    return std::max(static_cast<std::uint32_t>(share), std::uint32_t{1});
}

} // namespace

bool unrestricted_slots::may_start(const queued_work& /*work*/, const blackboard& /*board*/,
                                   const clock_reading& /*now*/) const
{
    return true;
}

time_point unrestricted_slots::counts_as_long_from(duration /*expected_run_time*/,
                                                   time_point /*started_at*/) const
{
    return no_deadline;
}

long_work_share::long_work_share(std::uint32_t max_permille, std::uint32_t min_permille)
    : max_permille_(max_permille), min_permille_(min_permille)
{
}

bool long_work_share::may_start(const queued_work& work, const blackboard& board,
                                const clock_reading& /*now*/) const
{
    const slot_totals& totals = board.target_slot_totals.get();
    if (is_long(work->expected_run_time)) {
        return totals.long_running < max_long_slots(board);
    }
    if (board.queue_backlog->tasks(long_lane) == 0) {
        return true;
    }
    const std::uint32_t reserved = share_of(totals.usable, min_permille_);
    if (totals.long_running >= reserved) {
        return true;
    }
    return totals.free > reserved - totals.long_running;
}

std::uint32_t long_work_share::max_long_slots(const blackboard& board) const
{
    const std::uint32_t usable = board.target_slot_totals->usable;
    const std::uint32_t reserved = board.short_work_demand->slots_to_reserve();
    const std::uint32_t remaining = usable - std::min(usable, reserved);
    return std::clamp(remaining, share_of(usable, min_permille_), share_of(usable, max_permille_));
}

time_point long_work_share::counts_as_long_from(duration expected_run_time,
                                                time_point started_at) const
{
    return is_long(expected_run_time) ? started_at : started_at + long_work_threshold;
}

} // namespace papayafall
