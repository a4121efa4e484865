#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/values/time.hpp"

namespace papayafall::jobs {

/// How much of the work that was offered lately got room. Older work counts less.
struct admission_share {
    double started = 0; ///< work that was started, in microseconds of one core
    double refused = 0; ///< work that was refused, likewise
    double jobs = 0;    ///< number of jobs, started or refused
    time_point updated_at{};

    auto operator<=>(const admission_share&) const = default;

    /// The same share, with the weights that its work has at a later instant.
    admission_share at(time_point now) const;

    admission_share with(core_time work, bool was_started, time_point now) const;

    double offered() const { return started + refused; }

    /// Part of the offered work that was started; 1 if none was offered.
    double ratio() const { return offered() > 0 ? started / offered() : 1; }
};

/// Whether a part of the offered work got less than half of the room that it would have got if the
/// room were shared evenly. A part that is too small to tell is not.
bool is_underserved(const admission_share& part, const admission_share& whole, time_point now);

/// Shares of the jobs of one queue.
struct queue_admissions {
    admission_share all_jobs;
    admission_share large_jobs; ///< the largest tenth
    double large_job_bound = 0; ///< work from which a job counts as large, in core microseconds

    auto operator<=>(const queue_admissions&) const = default;

    bool is_large(core_time work) const;

    /// The same shares with one more job, which was started or refused.
    queue_admissions with(core_time work, bool was_started, time_point now) const;
};

} // namespace papayafall::jobs
