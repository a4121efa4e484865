#include "papayafall/core/jobs/policies/admission.hpp"

#include <algorithm>

namespace papayafall::jobs {

time_point queue_forecast::starts_at(core_time work) const
{
    // In floating point, because the product of valid numbers may exceed 64 bits.
    const double wait = static_cast<double>(work.microseconds) * 1000 /
                        static_cast<double>(std::max<std::int64_t>(cpu_millis, 1));
    return now + duration(static_cast<std::int64_t>(
                     std::min(wait, static_cast<double>(max_run_time.count()))));
}

time_point queue_forecast::ends_at() const
{
    core_time work{started_work.microseconds + work_beyond.microseconds};
    for (const queued_job& it : jobs) {
        work.microseconds += it.work.microseconds;
    }
    return starts_at(work);
}

admission_decision admit_every_job::decide(const job_request& /*request*/,
                                           const queue_forecast& queue) const
{
    return {.expected_start = queue.ends_at()};
}

std::vector<job_number> admit_every_job::excess_jobs(const queue_forecast& /*queue*/) const
{
    return {};
}

time_point admit_every_job::latest_start(const job_order_fields& order, duration run_time) const
{
    return order.objective_deadline - run_time;
}

time_point admit_every_job::decision_deadline(const job_order_fields& /*order*/) const
{
    return no_deadline;
}

time_point admit_every_job::give_up_at(const job_order_fields& order, duration /*run_time*/) const
{
    return order.expires_at;
}

} // namespace papayafall::jobs
