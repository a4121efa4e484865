#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/work.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Decides whether a task whose attempt ended may be tried again.
class retry_policy : public policy {
  public:
    virtual bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                           const blackboard& board, const clock_reading& now) const = 0;
};

/// Baseline: an attempt is never repeated.
class no_retry final : public retry_policy {
  public:
    bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                   const blackboard& board, const clock_reading& now) const override;
};

/// Main: repeats what did not run, and what may have run only where the work is retryable;
/// bounded by attempts, by the deadline and by a budget that is a share of the traffic.
class budgeted_retry final : public retry_policy {
  public:
    explicit budgeted_retry(std::uint32_t max_attempts = 4);

    bool may_retry(const exchange_state& attempt, const exchange_outcome& outcome,
                   const blackboard& board, const clock_reading& now) const override;

  private:
    std::uint32_t max_attempts_;
};

} // namespace papayafall
