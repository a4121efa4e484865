#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/work.hpp"

namespace papayafall {

class blackboard;

/// Predicts how long a task will occupy a slot.
class run_time_estimator : public policy {
  public:
    /// Returns the mean run time of tasks like `work`.
    virtual duration expected(const work_item& work, const blackboard& board) const = 0;

    /// Returns a run time that nearly all tasks like `work` exceed; zero if it is not known.
    virtual duration low_quantile(const work_item& work, const blackboard& board) const = 0;

    /// Returns a run time that few tasks like `work` exceed; zero if it is not known.
    virtual duration high_quantile(const work_item& work, const blackboard& board) const = 0;
};

/// Uses the run time that the caller declared, or a fixed default. Baseline for comparisons.
class declared_run_time final : public run_time_estimator {
  public:
    duration expected(const work_item& work, const blackboard& board) const override;
    duration low_quantile(const work_item& work, const blackboard& board) const override;
    duration high_quantile(const work_item& work, const blackboard& board) const override;
};

/// Uses the recent run times of tasks of the same service; the declared run time is only a weak
/// prior. Used by default.
class observed_run_time final : public run_time_estimator {
  public:
    duration expected(const work_item& work, const blackboard& board) const override;
    duration low_quantile(const work_item& work, const blackboard& board) const override;
    duration high_quantile(const work_item& work, const blackboard& board) const override;
};

} // namespace papayafall
