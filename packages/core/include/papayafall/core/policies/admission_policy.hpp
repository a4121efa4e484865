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

/// Decides whether a new request is accepted. A refused request has not been run in any part.
class admission_policy : public policy {
  public:
    /// Returns the reason for the refusal, or nothing if the request is accepted.
    virtual std::optional<failure> evaluate(const request& content, const blackboard& board,
                                            const clock_reading& now) const = 0;
};

/// Accepts every request. Baseline for comparisons.
class admit_all final : public admission_policy {
  public:
    std::optional<failure> evaluate(const request& content, const blackboard& board,
                                    const clock_reading& now) const override;
};

/// Refuses a request that exceeds a limit, a quota or a budget, or for which the queued work
/// predicts a missed deadline: its own or that of a task queued behind it. Used by default.
class predictive_admission final : public admission_policy {
  public:
    /// @param run_times  estimates the run time of the request's tasks
    explicit predictive_admission(std::shared_ptr<const run_time_estimator> run_times);

    std::optional<failure> evaluate(const request& content, const blackboard& board,
                                    const clock_reading& now) const override;

  private:
    std::shared_ptr<const run_time_estimator> run_times_;
};

} // namespace papayafall
