#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Decides whether a task is attempted again after an attempt has ended.
class retry_policy : public policy {
  public:
    /// Returns whether the task of `attempt`, which ended with `outcome`, may be attempted again.
    virtual bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                           const blackboard& board, const clock_reading& now) const = 0;
};

/// Never retries. Baseline for comparisons.
class no_retry final : public retry_policy {
  public:
    bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                   const blackboard& board, const clock_reading& now) const override;
};

/// Retries a task that did not run, and one that may have run only if it is retryable. Retries are
/// limited by the number of attempts, the deadline and a `retry_budget`; the first retry of a task
/// that did not run needs no budget. Used by default.
class budgeted_retry final : public retry_policy {
  public:
    /// @param max_attempts  largest number of attempts for one task, the first included
    explicit budgeted_retry(std::uint32_t max_attempts = 4);

    bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                   const blackboard& board, const clock_reading& now) const override;

  private:
    std::uint32_t max_attempts_;
};

} // namespace papayafall
