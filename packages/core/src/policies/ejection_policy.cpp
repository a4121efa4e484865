#include "papayafall/core/policies/ejection_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint64_t permille = 1000;
constexpr std::uint32_t most_consecutive_failures = 5;
/// Outcomes from which on a share of them says something about the target.
constexpr std::uint64_t enough_outcomes = 20;
constexpr std::uint64_t most_failed_permille = 500;
/// A target fails more than its zone when its share of failures is this many times the zone's.
constexpr std::uint64_t outlier_factor = 2;
/// Run time against what is expected, in thousandths, from which a target counts as a straggler.
constexpr std::uint32_t straggler_run_time = 4000;
constexpr duration first_ejection = std::chrono::seconds(1);
constexpr std::uint32_t most_doublings = 6;

std::uint64_t failed_permille(std::uint64_t failures, std::uint64_t successes)
{
    const std::uint64_t sum = failures + successes;
    return sum == 0 ? 0 : failures * permille / sum;
}

bool fails_more_than_zone(const target_state& target, const zone_health& zone)
{
    const std::uint64_t others = failed_permille(zone.failures, zone.successes);
    if (target->consecutive_failures >= most_consecutive_failures) {
        return others <= most_failed_permille;
    }
    if (target->failures + target->successes < enough_outcomes) {
        return false;
    }
    const std::uint64_t own = failed_permille(target->failures, target->successes);
    return own >= most_failed_permille && own >= others * outlier_factor;
}

bool is_straggler(const target_state& target)
{
    return target->failures + target->successes >= enough_outcomes &&
           target->relative_run_time >= straggler_run_time;
}

} // namespace

bool no_ejection::should_eject(const target_state& /*target*/, const blackboard& /*board*/,
                               const clock_reading& /*now*/) const
{
    return false;
}

time_point no_ejection::probe_at(const target_state& /*target*/, const clock_reading& now) const
{
    return now.steady;
}

zone_outlier_ejection::zone_outlier_ejection(std::uint32_t most_ejected_permille)
    : most_ejected_permille_(most_ejected_permille)
{
}

bool zone_outlier_ejection::should_eject(const target_state& target, const blackboard& board,
                                         const clock_reading& /*now*/) const
{
    const zone_health& zone = board.health.get();
    if (zone.owned < 2) {
        return false;
    }
    const std::uint64_t share = std::uint64_t{zone.owned} * most_ejected_permille_ / permille;
    if (zone.ejected >= std::max<std::uint64_t>(share, 1)) {
        return false;
    }
    return fails_more_than_zone(target, zone) || is_straggler(target);
}

time_point zone_outlier_ejection::probe_at(const target_state& target,
                                           const clock_reading& now) const
{
    return now.steady + first_ejection * (1U << std::min(target->ejections, most_doublings));
}

} // namespace papayafall
