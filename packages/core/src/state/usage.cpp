#include "papayafall/core/state/usage.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::int64_t millitokens_per_token = 1000;
constexpr std::int64_t microseconds_per_second = 1'000'000;

} // namespace

token_bucket token_bucket::refilled(std::uint32_t rate, time_point now) const
{
    const std::int64_t capacity = rate * millitokens_per_token;
    const duration elapsed = now - refilled_at;
    if (elapsed >= std::chrono::hours(1)) {
        return token_bucket{.millitokens = capacity, .refilled_at = now};
    }
    const std::int64_t refill =
        elapsed.count() * rate * millitokens_per_token / microseconds_per_second;
    if (refill == 0) {
        return *this;
    }
    return token_bucket{.millitokens = std::min(millitokens + refill, capacity),
                        .refilled_at = now};
}

token_bucket token_bucket::with_taken(std::uint32_t tasks) const
{
    return token_bucket{.millitokens = millitokens - tasks * millitokens_per_token,
                        .refilled_at = refilled_at};
}

time_point token_bucket::ready_at(std::uint32_t tasks, std::uint32_t rate) const
{
    const std::int64_t needed = std::min(tasks, rate) * millitokens_per_token;
    const std::int64_t missing = std::max<std::int64_t>(needed - millitokens, 0);
    return refilled_at +
           duration(missing * microseconds_per_second / (rate * millitokens_per_token));
}

} // namespace papayafall
