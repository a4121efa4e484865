#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/policies/policy.hpp"

namespace papayafall::jobs {

/// Estimates what it costs a caller if its job is refused. Only ratios of costs have a meaning.
class job_cost_policy : public policy {
  public:
    /// @param work expected work of all tasks of the job
    virtual double cost(const job_order_fields& order, core_time work) const = 0;
};

/// Baseline: every job costs the same.
class equal_cost final : public job_cost_policy {
  public:
    double cost(const job_order_fields& order, core_time work) const override;
};

/// The cost grows with the work that the job asks for and doubles with each level of priority.
class priority_weighted_work final : public job_cost_policy {
  public:
    double cost(const job_order_fields& order, core_time work) const override;
};

} // namespace papayafall::jobs
