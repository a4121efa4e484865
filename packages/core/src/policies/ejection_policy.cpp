#include "papayafall/core/policies/ejection_policy.hpp"

#include "papayafall/core/blackboard/blackboard.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint64_t permille = 1000;
/// Consecutive failures from which a target is ejected, unless the other targets fail more than
/// `failed_permille_limit`.
constexpr std::uint32_t max_consecutive_failures = 5;
/// Number of recent outcomes below which their shares and means are not significant.
constexpr std::uint64_t min_outcomes = 20;
/// Share of failed attempts from which failures are significant, for a target and for the others.
constexpr std::uint64_t failed_permille_limit = 500;
/// A target fails more than its zone if its share of failed attempts is at least this many times
/// the mean of the others.
constexpr std::uint64_t outlier_factor = 2;
/// A target is a straggler if it is at least this many times slower than the mean of the others.
constexpr std::uint64_t straggler_factor = 4;
/// Duration of the first ejection; each further ejection in a row doubles it.
constexpr duration base_ejection_time = std::chrono::seconds(1);
constexpr std::uint32_t max_ejection_doublings = 6;

/// Returns the mean over the other targets in service, or 0 if there are none; `sum` includes
/// `own`.
std::uint64_t mean_of_others(std::uint64_t sum, std::uint64_t own, std::uint32_t in_service)
{
    return in_service < 2 ? 0 : (sum - std::min(sum, own)) / (in_service - 1);
}

bool has_enough_outcomes(const target_state& target)
{
    return target->failures + target->successes >= min_outcomes;
}

/// Returns whether `target` failed too often in a row, or fails significantly more often than the
/// other targets in service.
/// @param state_in_sums earlier state of `target`, which the sums in `zone` include
bool fails_more_than_zone(const target_state& target, const target_state& state_in_sums,
                          const zone_health& zone)
{
    const std::uint64_t others =
        mean_of_others(zone.failed_permille, failed_permille(state_in_sums), zone.in_service);
    if (target->consecutive_failures >= max_consecutive_failures) {
        return others <= failed_permille_limit;
    }
    const std::uint64_t own = failed_permille(target);
    return has_enough_outcomes(target) && own >= failed_permille_limit &&
           own >= others * outlier_factor;
}

/// Returns whether `target` is significantly slower than the other targets in service.
/// @param state_in_sums earlier state of `target`, which the sums in `zone` include
bool is_straggler(const target_state& target, const target_state& state_in_sums,
                  const zone_health& zone)
{
    const std::uint64_t others =
        mean_of_others(zone.relative_run_time_permille, state_in_sums->relative_run_time_permille,
                       zone.in_service);
    return has_enough_outcomes(target) && others > 0 &&
           target->relative_run_time_permille >= others * straggler_factor;
}

} // namespace

bool no_ejection::should_eject(const target_state& /*target*/, const blackboard& /*board*/,
                               const clock_reading& /*now*/) const
{
    return false;
}

time_point no_ejection::next_probe_at(const target_state& /*target*/,
                                      const clock_reading& now) const
{
    return now.steady;
}

zone_outlier_ejection::zone_outlier_ejection(std::uint32_t max_ejected_permille)
    : max_ejected_permille_(max_ejected_permille)
{
}

bool zone_outlier_ejection::should_eject(const target_state& target, const blackboard& board,
                                         const clock_reading& /*now*/) const
{
    const zone_health& zone = board.target_health.get();
    if (zone.owned < 2) {
        return false;
    }
    const std::uint64_t share = std::uint64_t{zone.owned} * max_ejected_permille_ / permille;
    if (zone.ejected >= std::max<std::uint64_t>(share, 1)) {
        return false;
    }
    const target_state* state_in_sums = board.targets.find(target->entry.name);
    if (state_in_sums == nullptr) {
        return false;
    }
    return fails_more_than_zone(target, *state_in_sums, zone) ||
           is_straggler(target, *state_in_sums, zone);
}

time_point zone_outlier_ejection::next_probe_at(const target_state& target,
                                                const clock_reading& now) const
{
    return now.steady +
           base_ejection_time * (1U << std::min(target->ejections, max_ejection_doublings));
}

} // namespace papayafall
