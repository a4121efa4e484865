#pragma once

#include "papayafall/core/jobs/state/job_state.hpp"
#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/job_refusal.hpp"
#include "papayafall/core/policies/policy.hpp"

#include <cstdint>
#include <vector>

namespace papayafall::jobs {

/// A job of which no task was started.
struct queued_job {
    job_number number;                          ///< 0 for a job that is not in the queue yet
    waiting_group group = waiting_group::other; ///< earlier classes get room first
    time_point start_by;   ///< latest start that lets the job meet its objective
    core_time work;        ///< expected work of all its tasks
    double cost = 0;       ///< what its refusal costs the caller, by `job_cost_policy`
    bool may_yield = true; ///< whether it may be refused in favour of other jobs

    auto operator<=>(const queued_job&) const = default;
};

/// The jobs that compete for the workers of one service.
struct queue_forecast {
    time_point now;
    std::int64_t cpu_millis = 0;  ///< capacity that works off the queue, in thousandths of a core
    core_time started_work;       ///< waiting tasks of jobs that have started; they go first
    std::vector<queued_job> jobs; ///< by class and latest start; of a long queue, the first ones
    core_time work_beyond;        ///< of the jobs behind those in `jobs`

    auto operator<=>(const queue_forecast&) const = default;

    /// Instant at which the given amount of work has started.
    time_point starts_at(core_time work) const;

    /// Instant at which all work in the queue has started.
    time_point ends_at() const;
};

/// A job that asks for admission.
struct job_request {
    queued_job job;
    core_time unplaced_work; ///< of the tasks for which there is no room now
    time_point room_at;      ///< when there is room for all its tasks if no other job waits
    /// Whether its queue, or its size of job, got too little of the room lately. It is then
    /// admitted whatever the jobs cost that yield to it.
    bool underserved = false;

    auto operator<=>(const job_request&) const = default;
};

/// Decision about a job that asks for admission.
struct admission_decision {
    refusal_reason reason = refusal_reason::none; ///< `none`: admitted
    time_point expected_start;                    ///< of its last task, if it was admitted
    time_point room_at;                           ///< when there is room again, if it was refused
    std::vector<job_number> displaced;            ///< jobs that are refused in its favour

    auto operator<=>(const admission_decision&) const = default;
};

/// Decides which jobs wait for room and which are refused.
class job_admission_policy : public policy {
  public:
    virtual admission_decision decide(const job_request& request,
                                      const queue_forecast& queue) const = 0;

    /// Returns the waiting jobs to refuse so that the others can meet their objectives.
    virtual std::vector<job_number> excess_jobs(const queue_forecast& queue) const = 0;

    /// Returns the latest start that lets the job meet its objective.
    /// @param run_time expected length of its critical path
    virtual time_point latest_start(const job_order_fields& order, duration run_time) const = 0;

    /// Returns the instant from which an admitted job keeps its place in the queue.
    virtual time_point decision_deadline(const job_order_fields& order) const = 0;

    /// Returns the instant from which a job that was not started is refused, because it would miss
    /// its objective on any worker.
    virtual time_point give_up_at(const job_order_fields& order, duration run_time) const = 0;
};

/// Baseline: admits every job.
class admit_every_job final : public job_admission_policy {
  public:
    admission_decision decide(const job_request& request,
                              const queue_forecast& queue) const override;
    std::vector<job_number> excess_jobs(const queue_forecast& queue) const override;
    time_point latest_start(const job_order_fields& order, duration run_time) const override;
    time_point decision_deadline(const job_order_fields& order) const override;
    time_point give_up_at(const job_order_fields& order, duration run_time) const override;
};

} // namespace papayafall::jobs
