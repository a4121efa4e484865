#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/work.hpp"

#include <optional>

namespace papayafall {

class blackboard;

/// Decides the target of a task among the targets that this host owns.
class target_selector : public policy {
  public:
    /// Returns the target, or nothing where the task has to wait.
    virtual std::optional<target_name> select(const work_item& work, const blackboard& board,
                                              const clock_reading& now) const = 0;
};

/// Main: the target with a free slot that is least loaded for its speed.
/// Complexity: constant while a slot is free.
class least_loaded_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Baseline: the next target by name after the last one, wherever a slot is free.
/// Complexity: linear in the number of full targets that are passed over.
class round_robin_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Baseline: a pseudo-random target with a free slot, by the count of starts.
/// Complexity: linear in the number of owned targets.
class random_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

/// Baseline: the target with the fewest tasks in flight for its size, also where none of its
/// slots is free, so that work queues at the target. Complexity: constant.
class least_in_flight_target final : public target_selector {
  public:
    std::optional<target_name> select(const work_item& work, const blackboard& board,
                                      const clock_reading& now) const override;
};

} // namespace papayafall
