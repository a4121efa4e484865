#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <random>

namespace papayafall {

/// Exponential delay with jitter between the tries of one call, bounded above.
class retry_delay {
  public:
    /// @param seed differs between hosts, so that they don't retry together
    retry_delay(duration first, duration max, std::uint64_t seed);

    /// Instant of the next try; each call doubles the delay. The jitter takes off up to half.
    time_point next(time_point now);

    /// Starts again from the first delay, after a success.
    void reset() noexcept { current_ = first_; }

  private:
    duration first_;
    duration max_;
    duration current_;
    std::mt19937_64 random_;
};

} // namespace papayafall
