#pragma once

#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace papayafall {

/// Number of buckets of a run-time histogram: four per doubling, from 1 ms to about 4 h.
inline constexpr std::size_t run_time_bucket_count = 96;

struct run_time_estimate_fields {
    /// Weights of the observations by logarithmic bucket; all are halved from time to time.
    std::array<float, run_time_bucket_count> weights{};
    float total = 0; ///< sum of `weights`

    auto operator<=>(const run_time_estimate_fields&) const = default;
};

/// Distribution of the run times of one service, in which recent observations weigh more.
class run_time_estimate {
  public:
    /// Returns the estimate with one more observation.
    run_time_estimate with_observation(duration run_time) const;

    /// Returns the total weight of the observations; 0 if there are none.
    float weight() const noexcept { return fields_->total; }

    /// Returns the run time below which the share `quantile` (0 to 1) of the observations lies,
    /// rounded up to the upper bound of its bucket; zero if there are no observations.
    /// Complexity: linear in the number of buckets.
    duration quantile(float quantile) const;

    /// Returns the mean of the observations, each taken as the middle of its bucket; zero if there
    /// are none. Complexity: linear in the number of buckets.
    duration mean() const;

    friend auto operator<=>(const run_time_estimate&, const run_time_estimate&) = default;

  private:
    value<run_time_estimate_fields> fields_;
};

} // namespace papayafall
