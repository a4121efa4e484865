#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/work.hpp"

namespace papayafall {

class blackboard;

/// Predicts how long a task will hold a slot.
class run_time_estimator : public policy {
  public:
    /// Run time that a task of this kind takes on average.
    virtual duration expected(const work_item& work, const blackboard& board) const = 0;

    /// Run time that nearly every task of this kind needs at least; zero where that is not known.
    virtual duration low_quantile(const work_item& work, const blackboard& board) const = 0;

    /// Run time that few tasks of this kind pass; zero where that is not known.
    virtual duration high_quantile(const work_item& work, const blackboard& board) const = 0;
};

/// Baseline: what the caller declared, or a fixed default.
class declared_run_time final : public run_time_estimator {
  public:
    duration expected(const work_item& work, const blackboard& board) const override;
    duration low_quantile(const work_item& work, const blackboard& board) const override;
    duration high_quantile(const work_item& work, const blackboard& board) const override;
};

/// Main: what tasks of the same service took lately; the declared run time only as a weak prior.
class observed_run_time final : public run_time_estimator {
  public:
    duration expected(const work_item& work, const blackboard& board) const override;
    duration low_quantile(const work_item& work, const blackboard& board) const override;
    duration high_quantile(const work_item& work, const blackboard& board) const override;
};

} // namespace papayafall
