#include "papayafall/platform/retry/retry_delay.hpp"

#include <algorithm>

namespace papayafall {

retry_delay::retry_delay(duration first, duration max, std::uint64_t seed)
    : first_(first), max_(max), current_(first), random_(seed)
{
}

time_point retry_delay::next(time_point now)
{
    std::uniform_int_distribution<duration::rep> jitter(current_.count() / 2, current_.count());
    const duration delay(jitter(random_));
    current_ = std::min(max_, current_ * 2);
    return now + delay;
}

} // namespace papayafall
