#pragma once

#include "papayafall/core/values/time.hpp"

#include <chrono>
#include <cstdint>

namespace papayafall::jobs {

/// Part of a measured run time that does not depend on the worker's speed: the calls that start the
/// run and report its end.
inline constexpr duration run_call_overhead = std::chrono::milliseconds(5);

/// Robust estimate of how long runs take in relation to their declared run times.
///
/// Declared run times may be far off, and a few runs take many times as long as the others. The
/// estimate therefore follows the median more than the mean.
struct slowness_estimate {
    double log_slowness = 0; ///< natural logarithm of measured divided by declared run time
    double deviation = 0;    ///< mean distance of single runs from `log_slowness`
    std::uint32_t samples = 0;

    auto operator<=>(const slowness_estimate&) const = default;

    /// Measured divided by declared run time; 1: as declared, 2: twice as long.
    double slowness() const;
};

/// Logarithm of a measured run time, less the overhead of calls, over the declared one.
double log_slowness_of(duration measured, duration declared);

/// Estimate for a group of workers after one more run.
slowness_estimate updated_group(const slowness_estimate& it, double log_slowness);

/// Estimate for one worker after one more run. It follows a change of speed faster.
/// @param it estimate so far, or that of the worker's group if it had no run
slowness_estimate updated_worker(const slowness_estimate& it, double log_slowness);

/// Estimate of a worker that had no run yet.
/// @param group estimate for workers like it
slowness_estimate first_estimate(const slowness_estimate& group);

} // namespace papayafall::jobs
