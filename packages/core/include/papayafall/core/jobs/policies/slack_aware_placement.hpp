#pragma once

#include "papayafall/core/jobs/policies/placement_policy.hpp"

namespace papayafall::jobs {

/// Keeps fast workers free for the tasks that need them.
///
/// Prefers, in this order: workers that are not avoided; workers in the preferred rack of the step;
/// workers on which the task is expected to end in time, with a margin, and the slowest of these;
/// if there are none, the fastest; the worker on which the least room becomes unusable for tasks of
/// the sizes in demand; and the one with the least free CPU after the task is placed.
/// A task that would end late on that worker waits while it can still end in time on a faster one.
class slack_aware_placement final : public placement_policy {
  public:
    std::optional<std::size_t>
    choose(const placement_demand& demand,
           const std::vector<placement_candidate>& candidates) const override;
};

} // namespace papayafall::jobs
