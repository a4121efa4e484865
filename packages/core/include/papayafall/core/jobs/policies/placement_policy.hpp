#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <vector>

namespace papayafall::jobs {

/// A worker that may run the task.
struct placement_candidate {
    const worker_fields* entry = nullptr;
    resources free; ///< before the task is placed
    double slowness = 1;
    bool avoided = false; ///< ejected, or where the last run of the task did not succeed

    auto operator<=>(const placement_candidate&) const = default;
};

/// Chooses the worker for a task.
class placement_policy : public policy {
  public:
    /// Index of the chosen candidate.
    /// @param candidates not empty; each has room for the task
    virtual std::size_t choose(const job_step& step,
                               const std::vector<placement_candidate>& candidates) const = 0;
};

/// Baseline: the first candidate.
class first_fit final : public placement_policy {
  public:
    std::size_t choose(const job_step& step,
                       const std::vector<placement_candidate>& candidates) const override;
};

/// Prefers, in this order: workers that are not avoided, the rack of the data, sound workers, and
/// the one whose processors are left with the least room.
class best_fit final : public placement_policy {
  public:
    std::size_t choose(const job_step& step,
                       const std::vector<placement_candidate>& candidates) const override;
};

} // namespace papayafall::jobs
