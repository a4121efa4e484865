#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/work.hpp"

#include <optional>

namespace papayafall {

class blackboard;

/// Selects the target of a task from the targets that this host owns.
class target_selector : public policy {
  public:
    /// Returns the target, or nothing if the task has to wait.
    virtual std::optional<target_name> select(const work_item& work, const blackboard& board,
                                              const clock_reading& now) const = 0;
};

/// Selects the least loaded target, with the load scaled by the target's speed, if it has a free
/// slot. Used by default. Complexity: constant.
class least_loaded_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Selects the next target with a free slot, in the order of names and starting after the target
/// of the last start. Baseline for comparisons.
/// Complexity: linear in the number of full targets that are skipped.
class round_robin_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Selects a pseudo-random target with a free slot; the number of starts is the seed. Baseline for
/// comparisons.
/// Complexity: linear in the number of owned targets.
class random_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Selects the target with the fewest tasks in flight, scaled by its size and speed, even if it has
/// no free slot, so that tasks queue at the target. Baseline for comparisons. Complexity: constant.
class least_in_flight_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

} // namespace papayafall
