#pragma once

#include "papayafall/core/jobs/state/worker_state.hpp"

namespace papayafall::jobs {

/// A lease that is asked for now.
struct lease_request {
    worker_time until;           ///< on the worker's clock
    time_point lease_expired_by; ///< instant of this process by which it has ended for certain

    auto operator<=>(const lease_request&) const = default;
};

/// Works out a lease of `length` for the runs of a worker.
///
/// A worker's clock may run slow by `worker_clock_error`, so its present reading is taken as low as
/// it can be, and the end of the lease as late as it can be.
lease_request request_lease(const worker_session& session, duration length, time_point now);

/// Instant by which a lease of `length`, granted to arrive at `at` or before, has ended.
time_point latest_expiry(duration length, time_point granted_by);

} // namespace papayafall::jobs
