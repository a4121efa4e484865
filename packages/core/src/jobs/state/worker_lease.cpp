#include "papayafall/core/jobs/state/worker_lease.hpp"

#include <chrono>

namespace papayafall::jobs {

namespace {

/// Part by which a worker's clock may be slow, rounded up.
constexpr double worker_clock_error = 0.025;
/// Time that a worker takes to end what has lapsed.
constexpr duration lapse_margin = std::chrono::milliseconds(30);

} // namespace

time_point lapse_of(duration length, time_point at)
{
    return at + std::chrono::duration_cast<duration>(length * (1 + worker_clock_error)) +
           lapse_margin;
}

lease_request request_lease(const worker_session& session, duration length, time_point now)
{
    const duration since = std::chrono::duration_cast<duration>((now - session.clock_read_at) *
                                                                (1 - worker_clock_error));
    const auto ahead = std::chrono::duration_cast<std::chrono::milliseconds>(since + length);
    return {.until = session.clock + ahead, .lapsed_at = lapse_of(length, now)};
}

} // namespace papayafall::jobs
