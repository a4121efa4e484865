#include "papayafall/core/jobs/policies/worker_ejection.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace papayafall::jobs {

namespace {

/// Failures in a row from which a worker is avoided; one alone may be the task's own fault.
constexpr std::uint32_t failure_limit = 2;
constexpr duration shortest_ejection = std::chrono::milliseconds(700);
constexpr duration longest_ejection = std::chrono::milliseconds(4000);
/// Slowness from which a worker is avoided, and the samples that it takes to believe it.
constexpr double slowness_limit = 2.6;
constexpr std::uint32_t slowness_samples = 2;
constexpr duration slow_ejection = std::chrono::milliseconds(2000);
/// Bound of the exponent of the ejection time.
constexpr std::uint32_t longest_row = 4;

} // namespace

time_point never_eject::avoid_until(const worker_health& /*health*/, time_point now) const
{
    return now;
}

time_point eject_after_failures::avoid_until(const worker_health& health, time_point now) const
{
    const std::uint32_t row =
        health.stalls_in_a_row +
        (health.failures_in_a_row >= failure_limit ? health.failures_in_a_row - 1 : 0);
    if (row > 0) {
        const std::uint32_t doublings = std::min(row - 1, longest_row);
        return now + std::min(shortest_ejection * (1U << doublings), longest_ejection);
    }
    if (health.samples >= slowness_samples && health.slowness > slowness_limit) {
        return now + slow_ejection;
    }
    return now;
}

} // namespace papayafall::jobs
