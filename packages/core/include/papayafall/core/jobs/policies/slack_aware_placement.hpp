#pragma once

#include "papayafall/core/jobs/policies/placement_policy.hpp"

namespace papayafall::jobs {

/// Keeps fast workers free for the tasks that need them.
///
/// Prefers, in this order: workers that are not avoided; workers in the preferred rack of the step;
/// workers on which the task is expected to end in time, with a margin, and the slowest of these;
/// if there are none, the fastest; the worker on which the least room becomes unusable for tasks of
/// the sizes in demand; and the one with the least free CPU after the task is placed.
class slack_aware_placement final : public placement_policy {
  public:
    std::size_t choose(const placement_demand& demand,
                       const std::vector<placement_candidate>& candidates) const override;
};

} // namespace papayafall::jobs
