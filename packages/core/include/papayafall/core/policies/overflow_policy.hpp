#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/work.hpp"

#include <optional>

namespace papayafall {

class blackboard;

/// Decides which peer runs a task for which this host has no free slot.
class overflow_policy : public policy {
  public:
    /// Returns the peer, or nothing if the task has to wait.
    virtual std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                          const clock_reading& now) const = 0;
};

/// Never delegates: tasks wait for a slot of this host. Baseline for comparisons.
class no_overflow final : public overflow_policy {
  public:
    std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                  const clock_reading& now) const override;
};

/// Selects the peer with the most spare slots (see `spare_slots`), preferring peers in this host's
/// zone. Used by default. Complexity: linear in the number of hosts.
class most_free_slots_overflow final : public overflow_policy {
  public:
    std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                  const clock_reading& now) const override;
};

} // namespace papayafall
