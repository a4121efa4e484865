#include "papayafall/core/jobs/policies/retry_time.hpp"

#include "papayafall/core/values/stable_hash.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace papayafall::jobs {

namespace {

/// HTTP tells the delay in whole seconds.
constexpr duration min_retry_delay = std::chrono::seconds(1);
/// Time over which the callers are spread.
constexpr duration retry_spread = std::chrono::seconds(2);

} // namespace

time_point retry_time(const job_id& job, time_point room_at, time_point now)
{
    const auto range = static_cast<std::uint64_t>(retry_spread.count());
    const duration spread(static_cast<std::int64_t>(stable_hash(job.text()) % range));
    return std::max(room_at, now + min_retry_delay) + spread;
}

} // namespace papayafall::jobs
