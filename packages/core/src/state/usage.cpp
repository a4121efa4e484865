#include "papayafall/core/state/usage.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::int64_t tokens_per_task = 1000;
constexpr std::int64_t microseconds_per_second = 1'000'000;

} // namespace

token_bucket token_bucket::refilled(std::uint32_t rate, time_point now) const
{
    const std::int64_t capacity = rate * tokens_per_task;
    const duration elapsed = now - refilled_at;
    if (elapsed >= std::chrono::hours(1)) {
        return token_bucket{.tokens = capacity, .refilled_at = now};
    }
    const std::int64_t refill = elapsed.count() * rate * tokens_per_task / microseconds_per_second;
    if (refill == 0) {
        return *this;
    }
    return token_bucket{.tokens = std::min(tokens + refill, capacity), .refilled_at = now};
}

token_bucket token_bucket::with_taken(std::uint32_t tasks) const
{
    return token_bucket{.tokens = tokens - tasks * tokens_per_task, .refilled_at = refilled_at};
}

time_point token_bucket::ready_at(std::uint32_t tasks, std::uint32_t rate) const
{
    const std::int64_t needed = std::min(tasks, rate) * tokens_per_task;
    const std::int64_t missing = std::max<std::int64_t>(needed - tokens, 0);
    return refilled_at + duration(missing * microseconds_per_second / (rate * tokens_per_task));
}

} // namespace papayafall
