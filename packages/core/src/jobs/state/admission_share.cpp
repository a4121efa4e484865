#include "papayafall/core/jobs/state/admission_share.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace papayafall::jobs {

namespace {

/// Time after which work counts half.
constexpr std::chrono::duration<double> half_life = std::chrono::seconds(4);
/// Least share of a part, relative to that of the whole.
constexpr double min_relative_share = 0.5;
/// Number of jobs from which a share is compared.
constexpr double min_compared_jobs = 20;
/// Part of a queue's jobs that count as large.
constexpr double large_job_part = 0.1;
/// Step by which the bound of large jobs follows the jobs, relative to its value.
constexpr double bound_step = 0.25;

} // namespace

admission_share admission_share::at(time_point now) const
{
    const std::chrono::duration<double> age = now - updated_at;
    const double weight = std::exp2(-std::max(age / half_life, 0.0));
    return {.started = started * weight,
            .refused = refused * weight,
            .jobs = jobs * weight,
            .updated_at = now};
}

admission_share admission_share::with(core_time work, bool was_started, time_point now) const
{
    admission_share next = at(now);
    (was_started ? next.started : next.refused) += static_cast<double>(work.microseconds);
    ++next.jobs;
    return next;
}

bool is_underserved(const admission_share& part, const admission_share& whole, time_point now)
{
    return part.at(now).jobs >= min_compared_jobs &&
           part.ratio() < min_relative_share * whole.ratio();
}

bool queue_admissions::is_large(core_time work) const
{
    return static_cast<double>(work.microseconds) >= large_job_bound;
}

queue_admissions queue_admissions::with(core_time work, bool was_started, time_point now) const
{
    queue_admissions next = *this;
    next.all_jobs = all_jobs.with(work, was_started, now);
    if (is_large(work)) {
        next.large_jobs = large_jobs.with(work, was_started, now);
    }
    // Moves up for one job in ten and down for the others, so that it settles where a tenth of the
    // jobs lies above it.
    if (large_job_bound <= 0) {
        next.large_job_bound = static_cast<double>(work.microseconds);
    } else if (is_large(work)) {
        next.large_job_bound *= 1 + bound_step * (1 - large_job_part);
    } else {
        next.large_job_bound *= 1 - bound_step * large_job_part;
    }
    return next;
}

} // namespace papayafall::jobs
