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
    /// Returns the rank of `work`; lower ranks start first.
    /// @param sequence  arrival number, which makes the rank unique
    virtual queue_rank rank(const queued_work& work, std::uint64_t sequence,
                            const blackboard& board, const clock_reading& now) const = 0;
};

/// First come, first served. Baseline for comparisons.
class first_come_first_served_order final : public queue_order {
  public:
    queue_rank rank(const queued_work& work, std::uint64_t sequence, const blackboard& board,
                    const clock_reading& now) const override;
};

/// Orders by lane (short work before long work), then by urgency, by the virtual time of the team,
/// and by the instant at which the task has to start to meet its deadline. Used by default.
class earliest_deadline_order final : public queue_order {
  public:
    queue_rank rank(const queued_work& work, std::uint64_t sequence, const blackboard& board,
                    const clock_reading& now) const override;
};

} // namespace papayafall
