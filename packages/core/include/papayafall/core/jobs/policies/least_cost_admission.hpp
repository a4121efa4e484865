#pragma once

#include "papayafall/core/jobs/policies/admission.hpp"

namespace papayafall::jobs {

/// Admits a job if it can meet its objective, if necessary in place of waiting jobs that together
/// cost their callers less.
///
/// The queue is worked off by latest start. If a job in it would start too late, the cheapest set
/// of jobs up to that one yields, or the job itself. Jobs that would be late without the new one
/// yield first, at no cost. A job whose decision deadline has passed keeps its place.
class least_cost_admission final : public job_admission_policy {
  public:
    admission_decision decide(const job_request& request,
                              const queue_forecast& queue) const override;
    std::vector<job_number> excess_jobs(const queue_forecast& queue) const override;
    time_point latest_start(const job_order_fields& order, duration run_time) const override;
    time_point decision_deadline(const job_order_fields& order) const override;
    time_point give_up_at(const job_order_fields& order, duration run_time) const override;
};

} // namespace papayafall::jobs
