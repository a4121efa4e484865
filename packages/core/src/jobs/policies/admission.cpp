#include "papayafall/core/jobs/policies/admission.hpp"

#include <chrono>

namespace papayafall::jobs {

namespace {

duration fraction_of_objective(const job_order_fields& order, double fraction)
{
    const duration objective = order.objective_deadline - order.received_at;
    return std::chrono::duration_cast<duration>(objective * fraction);
}

} // namespace

bool admit_every_job::admits(const job_order_fields& /*order*/, const start_forecast& /*forecast*/,
                             time_point /*now*/) const
{
    return true;
}

time_point admit_every_job::decision_deadline(const job_order_fields& /*order*/) const
{
    return no_deadline;
}

admit_within_objective::admit_within_objective(double decision_fraction, double tolerance_fraction)
    : decision_fraction_(decision_fraction), tolerance_fraction_(tolerance_fraction)
{
}

bool admit_within_objective::admits(const job_order_fields& order, const start_forecast& forecast,
                                    time_point now) const
{
    return now + forecast.wait + forecast.run_time <=
           order.objective_deadline + fraction_of_objective(order, tolerance_fraction_);
}

time_point admit_within_objective::decision_deadline(const job_order_fields& order) const
{
    return order.received_at + fraction_of_objective(order, decision_fraction_);
}

} // namespace papayafall::jobs
