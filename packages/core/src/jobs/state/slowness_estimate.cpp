#include "papayafall/core/jobs/state/slowness_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace papayafall::jobs {

namespace {

/// Largest distance from the estimate, in its logarithm, that one run counts with.
constexpr double max_step_distance = 0.5;
/// Least weight of the newest run in the estimate of a group.
constexpr double min_group_weight = 0.02;
/// Least weight of the newest run in the estimate of a worker.
constexpr double min_worker_weight = 0.12;
/// Number of runs that the estimate of the group counts for in that of a new worker.
constexpr std::uint32_t group_samples = 4;
/// Bounds of one run's measured divided by declared run time.
constexpr double min_ratio = 0.02;
constexpr double max_ratio = 50;

slowness_estimate updated(const slowness_estimate& it, double log_slowness, double min_weight)
{
    slowness_estimate next = it;
    ++next.samples;
    const double weight = std::max(min_weight, 1.0 / next.samples);
    const double distance =
        std::clamp(log_slowness - it.log_slowness, -max_step_distance, max_step_distance);
    next.log_slowness += weight * distance;
    next.deviation += weight * (std::abs(distance) - it.deviation);
    return next;
}

} // namespace

double slowness_estimate::slowness() const
{
    return std::exp(log_slowness);
}

double log_slowness_of(duration measured, duration declared)
{
    const auto run_time = static_cast<double>((measured - run_call_overhead).count());
    const auto expected = static_cast<double>(std::max(declared, duration(1)).count());
    return std::log(std::clamp(run_time / expected, min_ratio, max_ratio));
}

slowness_estimate updated_group(const slowness_estimate& it, double log_slowness)
{
    return updated(it, log_slowness, min_group_weight);
}

slowness_estimate updated_worker(const slowness_estimate& it, double log_slowness)
{
    return updated(it, log_slowness, min_worker_weight);
}

slowness_estimate first_estimate(const slowness_estimate& group)
{
    slowness_estimate it = group;
    it.samples = std::min(group.samples, group_samples);
    return it;
}

} // namespace papayafall::jobs
