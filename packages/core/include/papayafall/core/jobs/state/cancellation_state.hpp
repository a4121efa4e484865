#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <set>
#include <vector>

namespace papayafall::jobs {

/// A job that was cancelled and must not start any more.
struct cancelled_job {
    bool found = false;     ///< whether a host had the job open when it was cancelled
    time_point forget_at{}; ///< when no more copies of its request are expected

    auto operator<=>(const cancelled_job&) const = default;
};

/// Callers' cancellations of one job that wait until it is known whether any host had it open.
struct open_cancellation_fields {
    std::vector<call_id> calls;
    std::set<host_name> awaited; ///< hosts that may run the job and have not answered
    time_point answer_by{};      ///< when the callers are answered at the latest

    auto operator<=>(const open_cancellation_fields&) const = default;
};

using open_cancellation = value<open_cancellation_fields>;

} // namespace papayafall::jobs
