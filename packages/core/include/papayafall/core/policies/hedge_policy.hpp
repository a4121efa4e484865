#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/time.hpp"

namespace papayafall {

class blackboard;

/// Decides when a second attempt of a task may start beside the first one.
class hedge_policy : public policy {
  public:
    /// Instant from which a second attempt may start; `no_deadline` for never.
    virtual time_point hedge_at(const exchange_state& attempt, const blackboard& board) const = 0;
};

/// Baseline: one attempt at a time.
class no_hedge final : public hedge_policy {
  public:
    time_point hedge_at(const exchange_state& attempt, const blackboard& board) const override;
};

} // namespace papayafall
