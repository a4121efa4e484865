#include "papayafall/core/state/usage.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::int64_t tokens_per_task = 1000;
constexpr std::int64_t microseconds_per_second = 1'000'000;

} // namespace

rate_bucket rate_bucket::refilled(std::uint32_t rate, time_point now) const
{
    const std::int64_t full = rate * tokens_per_task;
    const duration passed = now - refilled_at;
    if (passed >= std::chrono::hours(1)) {
        return rate_bucket{.tokens = full, .refilled_at = now};
    }
    const std::int64_t gained = passed.count() * rate * tokens_per_task / microseconds_per_second;
    if (gained == 0) {
        return *this;
    }
    return rate_bucket{.tokens = std::min(tokens + gained, full), .refilled_at = now};
}

rate_bucket rate_bucket::taken(std::uint32_t tasks) const
{
    return rate_bucket{.tokens = tokens - tasks * tokens_per_task, .refilled_at = refilled_at};
}

time_point rate_bucket::ready_at(std::uint32_t tasks, std::uint32_t rate) const
{
    const std::int64_t needed = std::min(tasks, rate) * tokens_per_task;
    const std::int64_t missing = std::max<std::int64_t>(needed - tokens, 0);
    return refilled_at + duration(missing * microseconds_per_second / (rate * tokens_per_task));
}

} // namespace papayafall
