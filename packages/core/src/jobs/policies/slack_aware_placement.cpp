#include "papayafall/core/jobs/policies/slack_aware_placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace papayafall::jobs {

namespace {

/// Workers whose slowness differs by less than about this factor count as equally fast, since the
/// slowness is only estimated.
constexpr double speed_class_factor = 1.4;
/// A task is expected to end in time if it would even if it took longer by this factor. The tasks
/// of a job differ, and the last one decides.
constexpr double run_time_margin = 1.35;
/// A task is expected to end late if this share of its expected run time already takes too long.
constexpr double late_run_share = 0.9;
/// Differences of unusable room below this share of the task's demand do not count.
constexpr double unusable_room_share = 0.125;

std::int64_t speed_class_of(double slowness)
{
    return std::llround(std::log(slowness) / std::log(speed_class_factor));
}

bool ends_in_time(const placement_demand& demand, const placement_candidate& it)
{
    return it.expected_run_time * run_time_margin <= demand.time_left;
}

/// Whether the task would clearly end late on the worker, but not on a faster one. Steps that are
/// bound to some workers do not wait, since the fastest workers may not be among these.
bool is_too_slow(const placement_demand& demand, const placement_candidate& it)
{
    return demand.step->required_label.empty() && demand.step->preferred_rack.empty() &&
           it.expected_run_time * late_run_share > demand.time_left &&
           demand.best_run_time * run_time_margin <= demand.time_left;
}

/// Room that becomes unusable when the task is placed, in steps of a share of its demand.
std::int64_t lost_room(const placement_demand& demand, const placement_candidate& it)
{
    const std::int64_t need = demand.step->need.cpu_millis;
    const double lost = unusable_cpu_millis(it.free.cpu_millis - need, demand.recent) -
                        unusable_cpu_millis(it.free.cpu_millis, demand.recent);
    const double unit = static_cast<double>(std::max<std::int64_t>(need, 1)) * unusable_room_share;
    return std::llround(lost / unit);
}

} // namespace

std::optional<std::size_t>
slack_aware_placement::choose(const placement_demand& demand,
                              const std::vector<placement_candidate>& candidates) const
{
    const label_name& rack = demand.step->preferred_rack;
    const auto cost = [&](const placement_candidate& it) {
        const bool off_rack = !rack.empty() && !it.entry->has_label(rack);
        const bool late = !ends_in_time(demand, it);
        const std::int64_t speed_class = speed_class_of(it.slowness);
        return std::make_tuple(it.avoided, off_rack, late, late ? speed_class : -speed_class,
                               lost_room(demand, it), (it.free - demand.step->need).cpu_millis);
    };
    std::size_t best = 0;
    auto least = cost(candidates.front());
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        const auto next = cost(candidates[n]);
        if (next < least) {
            best = n;
            least = next;
        }
    }
    if (is_too_slow(demand, candidates[best])) {
        return std::nullopt;
    }
    return best;
}

} // namespace papayafall::jobs
