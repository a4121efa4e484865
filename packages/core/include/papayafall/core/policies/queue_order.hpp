#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Decides the position of a task in the queue.
class queue_order : public policy {
  public:
    /// @param sequence arrival order; makes the rank unique
    virtual queue_rank rank(const queued_work& work, std::uint64_t sequence,
                            const blackboard& board, const clock_reading& now) const = 0;
};

/// Baseline: the order of arrival.
class first_come_first_served_order final : public queue_order {
  public:
    queue_rank rank(const queued_work& work, std::uint64_t sequence, const blackboard& board,
                    const clock_reading& now) const override;
};

/// Short work before long work; within them by urgency, by the team's virtual time, by deadline.
class earliest_deadline_order final : public queue_order {
  public:
    queue_rank rank(const queued_work& work, std::uint64_t sequence, const blackboard& board,
                    const clock_reading& now) const override;
};

} // namespace papayafall
