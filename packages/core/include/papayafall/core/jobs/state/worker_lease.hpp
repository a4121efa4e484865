#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <chrono>

namespace papayafall::jobs {

/// Time for which a report call waits at the worker for a run to end.
inline constexpr std::chrono::milliseconds report_long_poll_duration{150};
/// Time that a worker has to answer, on top of the time for which the call may wait.
inline constexpr duration worker_answer_timeout = std::chrono::milliseconds(150);

/// Length of the leases that this host asks for. One of the report calls that extend the lease may
/// be lost. A longer lease would only keep the tasks of a crashed worker waiting.
duration lease_length(const job_parameters& parameters);

/// Expiry of a lease that is requested now, on both clocks.
struct lease_request {
    worker_time until; ///< expiry on the worker's clock
    /// Instant on this process's clock at which it has certainly expired.
    time_point lease_expired_by;

    auto operator<=>(const lease_request&) const = default;
};

/// Computes the expiry of a lease for the runs of a worker.
///
/// A worker's clock may be slow by the fraction `max_clock_error_fraction`. The current reading of
/// that clock is therefore estimated as low as possible, and the expiry on this process's clock as
/// late as possible.
///
/// @param session session with the worker, with the last reading of its clock
/// @param length  length of the lease
lease_request request_lease(const worker_session& session, duration length, time_point now);

/// Returns the latest time that the worker's clock may show now.
worker_time latest_worker_time(const worker_session& session, time_point now);

/// Returns the instant at which a lease of `length` has certainly expired and its runs have ended.
///
/// @param granted_by latest instant at which the worker received the lease
time_point latest_expiry(duration length, time_point granted_by);

} // namespace papayafall::jobs
