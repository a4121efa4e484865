#include "papayafall/core/jobs/policies/worker_ejection.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace papayafall::jobs {

namespace {

/// Consecutive failures from which a worker is avoided. A single failure may be the fault of the
/// task.
constexpr std::uint32_t min_consecutive_failures = 2;
constexpr duration min_ejection_time = std::chrono::milliseconds(700);
constexpr duration max_ejection_time = std::chrono::milliseconds(4000);
/// Slowness above which a worker is avoided, and the number of measured runs that it has to be
/// based on.
constexpr double max_slowness = 2.6;
constexpr std::uint32_t min_slowness_samples = 2;
constexpr duration slow_worker_ejection_time = std::chrono::milliseconds(2000);
/// Limit of the doublings of the ejection time.
constexpr std::uint32_t max_doublings = 4;

} // namespace

time_point never_eject::avoid_until(const worker_health& /*health*/, time_point now) const
{
    return now;
}

time_point eject_after_failures::avoid_until(const worker_health& health, time_point now) const
{
    const std::uint32_t consecutive_faults =
        health.consecutive_stalls + (health.consecutive_failures >= min_consecutive_failures
                                         ? health.consecutive_failures - 1
                                         : 0);
    if (consecutive_faults > 0) {
        const std::uint32_t doublings = std::min(consecutive_faults - 1, max_doublings);
        return now + std::min(min_ejection_time * (1U << doublings), max_ejection_time);
    }
    if (health.samples >= min_slowness_samples && health.slowness > max_slowness) {
        return now + slow_worker_ejection_time;
    }
    return now;
}

} // namespace papayafall::jobs
