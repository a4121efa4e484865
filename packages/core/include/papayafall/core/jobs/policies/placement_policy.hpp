#pragma once

#include "papayafall/core/jobs/values/demand_sample.hpp"
#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <optional>
#include <vector>

namespace papayafall::jobs {

/// A task that is to be placed.
struct placement_demand {
    const job_step* step = nullptr;
    /// Time within which it has to end for its job to meet the objective; negative: too late.
    duration time_left{};
    /// Expected on the fastest kind of worker, which may have no room now.
    duration best_run_time{};
    demand_sample recent; ///< demands of tasks like those that will follow

    auto operator<=>(const placement_demand&) const = default;
};

/// A worker that can run the task.
struct placement_candidate {
    const worker_fields* entry = nullptr;
    resources free;               ///< free capacity before the task is placed
    double slowness = 1;          ///< run times relative to the declared ones; 1: as declared
    duration expected_run_time{}; ///< of the task on this worker
    bool avoided = false;         ///< ejected, or the last run of the task did not succeed on it

    auto operator<=>(const placement_candidate&) const = default;
};

/// Chooses the worker that runs a task.
class placement_policy : public policy {
  public:
    /// Returns the index of the chosen candidate, or nothing if the task should wait for another
    /// worker.
    /// @param candidates not empty; the task fits the free capacity of each
    virtual std::optional<std::size_t>
    choose(const placement_demand& demand,
           const std::vector<placement_candidate>& candidates) const = 0;
};

/// Baseline: chooses the first candidate.
class first_fit final : public placement_policy {
  public:
    std::optional<std::size_t>
    choose(const placement_demand& demand,
           const std::vector<placement_candidate>& candidates) const override;
};

} // namespace papayafall::jobs
