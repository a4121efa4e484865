#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/policies/policy.hpp"

namespace papayafall::jobs {

/// What a dispatcher expects of a job that has not begun.
struct start_forecast {
    duration wait{};     ///< until all its tasks have a worker
    duration run_time{}; ///< of its longest chain of tasks

    auto operator<=>(const start_forecast&) const = default;
};

/// Decides whether a job that has not begun is worth waiting with.
class job_admission_policy : public policy {
  public:
    virtual bool admits(const job_order_fields& order, const start_forecast& forecast,
                        time_point now) const = 0;

    /// Instant by which the decision has to be made for good.
    virtual time_point decision_deadline(const job_order_fields& order) const = 0;
};

/// Baseline: every job waits.
class admit_every_job final : public job_admission_policy {
  public:
    bool admits(const job_order_fields& order, const start_forecast& forecast,
                time_point now) const override;
    time_point decision_deadline(const job_order_fields& order) const override;
};

/// Refuses what is expected to miss its objective, within a part of the objective.
class admit_within_objective final : public job_admission_policy {
  public:
    /// @param decide_share part of the objective after which the decision stands
    /// @param tolerance    part of the objective by which the forecast may miss it
    explicit admit_within_objective(double decision_fraction = 0.18,
                                    double tolerance_fraction = -0.05);

    bool admits(const job_order_fields& order, const start_forecast& forecast,
                time_point now) const override;
    time_point decision_deadline(const job_order_fields& order) const override;

  private:
    double decision_fraction_;
    double tolerance_fraction_;
};

} // namespace papayafall::jobs
