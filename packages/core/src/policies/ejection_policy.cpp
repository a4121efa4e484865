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
/// A target is worse than its zone when it is this many times worse than the mean of the others.
constexpr std::uint64_t outlier_factor = 2;
/// A target is a straggler when it is this many times slower than the mean of the others.
constexpr std::uint64_t straggler_factor = 4;
constexpr duration first_ejection = std::chrono::seconds(1);
constexpr std::uint32_t most_doublings = 6;

/// Mean over the other targets in service; `sum` includes `own`.
std::uint64_t mean_of_others(std::uint64_t sum, std::uint64_t own, std::uint32_t in_service)
{
    return in_service < 2 ? 0 : (sum - std::min(sum, own)) / (in_service - 1);
}

bool has_enough_outcomes(const target_state& target)
{
    return target->failures + target->successes >= enough_outcomes;
}

bool fails_more_than_zone(const target_state& target, const target_state& counted,
                          const zone_health& zone)
{
    const std::uint64_t others =
        mean_of_others(zone.failed_permille, failed_permille(counted), zone.in_service);
    if (target->consecutive_failures >= most_consecutive_failures) {
        return others <= most_failed_permille;
    }
    const std::uint64_t own = failed_permille(target);
    return has_enough_outcomes(target) && own >= most_failed_permille &&
           own >= others * outlier_factor;
}

bool is_straggler(const target_state& target, const target_state& counted, const zone_health& zone)
{
    const std::uint64_t others =
        mean_of_others(zone.relative_run_time, counted->relative_run_time, zone.in_service);
    return has_enough_outcomes(target) && others > 0 &&
           target->relative_run_time >= others * straggler_factor;
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
    const target_state* counted = board.targets.find(target->entry.name);
    if (counted == nullptr) {
        return false;
    }
    return fails_more_than_zone(target, *counted, zone) || is_straggler(target, *counted, zone);
}

time_point zone_outlier_ejection::probe_at(const target_state& target,
                                           const clock_reading& now) const
{
    return now.steady + first_ejection * (1U << std::min(target->ejections, most_doublings));
}

} // namespace papayafall
