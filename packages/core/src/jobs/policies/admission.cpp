#include "papayafall/core/jobs/policies/admission.hpp"

#include <chrono>

namespace papayafall::jobs {

namespace {

duration share_of(const job_order_fields& order, double share)
{
    const duration objective = order.objective_at - order.received_at;
    return std::chrono::duration_cast<duration>(objective * share);
}

} // namespace

bool admit_every_job::worth_waiting(const job_order_fields& /*order*/,
                                    const start_forecast& /*forecast*/, time_point /*now*/) const
{
    return true;
}

time_point admit_every_job::decide_by(const job_order_fields& /*order*/) const
{
    return no_deadline;
}

admit_within_objective::admit_within_objective(double decide_share, double tolerance)
    : decide_share_(decide_share), tolerance_(tolerance)
{
}

bool admit_within_objective::worth_waiting(const job_order_fields& order,
                                           const start_forecast& forecast, time_point now) const
{
    return now + forecast.wait + forecast.run_time <=
           order.objective_at + share_of(order, tolerance_);
}

time_point admit_within_objective::decide_by(const job_order_fields& order) const
{
    return order.received_at + share_of(order, decide_share_);
}

} // namespace papayafall::jobs
