#pragma once

#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace papayafall {

/// Number of buckets of a run-time histogram; four a doubling, from 1 ms to about 4 h.
inline constexpr std::size_t run_time_bucket_count = 96;

struct run_time_estimate_fields {
    /// Decaying weights by logarithmic bucket.
    std::array<float, run_time_bucket_count> weights{};
    float total = 0;

    auto operator<=>(const run_time_estimate_fields&) const = default;
};

/// Distribution of the run times of one service, recent ones weighing most.
class run_time_estimate {
  public:
    /// Returns the estimate with one more observation.
    run_time_estimate with_observation(duration run_time) const;

    /// Weight of all observations; 0 where there is none.
    float weight() const noexcept { return fields_->total; }

    /// Run time below which the share `quantile` (0 to 1) of the observations lies, as the upper
    /// bound of its bucket. Complexity: linear in the number of buckets.
    duration quantile(float quantile) const;

    /// Mean of the observations. Complexity: linear in the number of buckets.
    duration mean() const;

    friend auto operator<=>(const run_time_estimate&, const run_time_estimate&) = default;

  private:
    value<run_time_estimate_fields> fields_;
};

} // namespace papayafall
