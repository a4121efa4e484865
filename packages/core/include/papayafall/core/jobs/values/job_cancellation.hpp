#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// A cancelled job, as hosts tell one another about it.
struct job_cancellation {
    job_id job;
    bool found = false;     ///< whether a host had the job open when it was cancelled
    time_point forget_at{}; ///< when no more copies of its request are expected

    auto operator<=>(const job_cancellation&) const = default;
};

} // namespace papayafall::jobs
