#include "papayafall/core/jobs/policies/placement_policy.hpp"

#include <cmath>
#include <compare>
#include <cstdint>
#include <tuple>

namespace papayafall::jobs {

namespace {

/// Slowness is rounded to multiples of this; workers with the same result count as equally fast.
constexpr double slowness_class_width = 0.5;

std::int64_t slowness_class_of(double slowness)
{
    return std::llround(slowness / slowness_class_width);
}

} // namespace

std::size_t first_fit::choose(const job_step& /*step*/,
                              const std::vector<placement_candidate>& /*candidates*/) const
{
    return 0;
}

std::size_t best_fit::choose(const job_step& step,
                             const std::vector<placement_candidate>& candidates) const
{
    const auto cost = [&](const placement_candidate& it) {
        const bool off_rack =
            !step.preferred_rack.empty() && !it.entry->has_label(step.preferred_rack);
        return std::make_tuple(it.avoided, off_rack, slowness_class_of(it.slowness),
                               (it.free - step.need).cpu_millis);
    };
    std::size_t best = 0;
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        if (cost(candidates[n]) < cost(candidates[best])) {
            best = n;
        }
    }
    return best;
}

} // namespace papayafall::jobs
