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
    virtual std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                          const clock_reading& now) const = 0;
};

/// Baseline: work waits for a slot of this host.
class no_overflow final : public overflow_policy {
  public:
    std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                  const clock_reading& now) const override;
};

/// Main: the peer with most free slots by its last heartbeat less what was delegated to it since;
/// peers of this host's own zone first. Complexity: linear in the number of hosts.
class most_free_slots_overflow final : public overflow_policy {
  public:
    std::optional<peer_id> select(const work_item& work, const blackboard& board,
                                  const clock_reading& now) const override;
};

} // namespace papayafall
