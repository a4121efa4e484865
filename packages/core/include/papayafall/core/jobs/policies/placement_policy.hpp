#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <vector>

namespace papayafall::jobs {

/// A worker that can run the task.
struct placement_candidate {
    const worker_fields* entry = nullptr;
    resources free;       ///< free capacity before the task is placed
    double slowness = 1;  ///< run times relative to what is expected; 1: as expected
    bool avoided = false; ///< ejected, or the last run of the task did not succeed on it

    auto operator<=>(const placement_candidate&) const = default;
};

/// Chooses the worker that runs a task.
class placement_policy : public policy {
  public:
    /// Returns the index of the chosen candidate.
    /// @param candidates not empty; the task fits the free capacity of each
    virtual std::size_t choose(const job_step& step,
                               const std::vector<placement_candidate>& candidates) const = 0;
};

/// Baseline: chooses the first candidate.
class first_fit final : public placement_policy {
  public:
    std::size_t choose(const job_step& step,
                       const std::vector<placement_candidate>& candidates) const override;
};

/// Prefers, in this order: workers that are not avoided, workers in the preferred rack of the step,
/// faster workers, and the worker with the least free CPU after the task is placed.
class best_fit final : public placement_policy {
  public:
    std::size_t choose(const job_step& step,
                       const std::vector<placement_candidate>& candidates) const override;
};

} // namespace papayafall::jobs
