#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <random>

namespace papayafall {

/// Exponential backoff with jitter between the attempts of a call, up to a maximum delay.
class retry_delay {
  public:
    /// @param seed has to differ between hosts so that they don't retry at the same time
    retry_delay(duration first, duration max, std::uint64_t seed);

    /// Returns the time of the next attempt and doubles the delay. Jitter shortens the delay by up
    /// to half.
    time_point next(time_point now);

    /// Resets the delay to its initial value, after a success.
    void reset() noexcept { current_ = first_; }

  private:
    duration first_;
    duration max_;
    duration current_;
    std::mt19937_64 random_;
};

} // namespace papayafall
