#include "papayafall/core/jobs/state/worker_lease.hpp"

#include <algorithm>
#include <chrono>

namespace papayafall::jobs {

namespace {

/// Fraction by which a worker's clock may be slow, rounded up.
constexpr double max_clock_error_fraction = 0.025;
/// Time that a worker takes to end runs whose lease has expired.
constexpr duration expiry_margin = std::chrono::milliseconds(30);

} // namespace

duration lease_length(const job_parameters& parameters)
{
    constexpr int report_calls = 2; // the one that is lost, and the next
    return std::min<duration>(parameters.longest_lease,
                              report_calls * (report_long_poll_duration + worker_answer_timeout));
}

time_point latest_expiry(duration length, time_point granted_by)
{
    return granted_by +
           std::chrono::duration_cast<duration>(length * (1 + max_clock_error_fraction)) +
           expiry_margin;
}

worker_time latest_worker_time(const worker_session& session, time_point now)
{
    return session.clock +
           std::chrono::ceil<std::chrono::milliseconds>(now - session.clock_read_at);
}

lease_request request_lease(const worker_session& session, duration length, time_point now)
{
    const duration since_reading = std::chrono::duration_cast<duration>(
        (now - session.clock_read_at) * (1 - max_clock_error_fraction));
    const auto until_expiry =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_reading + length);
    return {.until = session.clock + until_expiry, .lease_expired_by = latest_expiry(length, now)};
}

} // namespace papayafall::jobs
