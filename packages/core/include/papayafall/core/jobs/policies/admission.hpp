#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/policies/policy.hpp"

namespace papayafall::jobs {

/// Forecast for a job of which no task was started.
struct start_forecast {
    duration wait{};     ///< time until all its tasks can run
    duration run_time{}; ///< length of its critical path

    auto operator<=>(const start_forecast&) const = default;
};

/// Decides whether a job of which no task was started is kept in the queue or refused.
class job_admission_policy : public policy {
  public:
    /// Returns whether the job may wait.
    virtual bool admits(const job_order_fields& order, const start_forecast& forecast,
                        time_point now) const = 0;

    /// Returns the instant from which the decision is final.
    virtual time_point decision_deadline(const job_order_fields& order) const = 0;
};

/// Baseline: admits every job.
class admit_every_job final : public job_admission_policy {
  public:
    bool admits(const job_order_fields& order, const start_forecast& forecast,
                time_point now) const override;
    time_point decision_deadline(const job_order_fields& order) const override;
};

/// Refuses jobs that are expected to miss their objective; decides within a fraction of the
/// objective.
class admit_within_objective final : public job_admission_policy {
  public:
    /// @param decision_fraction  fraction of the objective after which the decision is final
    /// @param tolerance_fraction fraction of the objective by which the forecast may exceed it;
    ///                           negative: by which it has to stay below it
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
