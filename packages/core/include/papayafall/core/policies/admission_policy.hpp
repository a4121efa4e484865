#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/request.hpp"

#include <memory>
#include <optional>

namespace papayafall {

class blackboard;
class run_time_estimator;

/// Decides whether a new submission is accepted. A refusal means that nothing was run.
class admission_policy : public policy {
  public:
    /// Returns the reason of the refusal, or nothing where the request is accepted.
    virtual std::optional<failure> evaluate(const request& content, const blackboard& board,
                                            const clock_reading& now) const = 0;
};

/// Baseline: accepts everything.
class admit_all final : public admission_policy {
  public:
    std::optional<failure> evaluate(const request& content, const blackboard& board,
                                    const clock_reading& now) const override;
};

/// Main: refuses what passes a limit, a quota or a budget, and what would not be answered before
/// its deadline by the work that is ahead of it.
class predictive_admission final : public admission_policy {
  public:
    explicit predictive_admission(std::shared_ptr<const run_time_estimator> run_times);

    std::optional<failure> evaluate(const request& content, const blackboard& board,
                                    const clock_reading& now) const override;

  private:
    std::shared_ptr<const run_time_estimator> run_times_;
};

} // namespace papayafall
