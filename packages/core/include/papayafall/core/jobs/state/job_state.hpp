#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/job_refusal.hpp"
#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::jobs {

/// Identifies a connection with another host within this process. As the origin of a job, 0 stands
/// for this process itself.
using link_number = basic_number<struct link_tag>;

/// Where a job came from, and who is told its outcome.
struct job_origin {
    link_number link;
    delegation_id delegation;

    auto operator<=>(const job_origin&) const = default;
};

/// Identifies a task of a job that this dispatcher runs.
struct task_ref {
    job_number job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

struct job_state_fields {
    job_order order;
    job_origin origin;
    std::vector<std::uint32_t> unfinished_tasks; ///< per step: number of tasks that are not done
    std::uint32_t waiting = 0;                   ///< number of tasks that may start
    std::uint32_t active_runs = 0; ///< number of runs that are not known to have ended
    std::uint32_t starts_sent = 0; ///< number of starts that were sent to workers
    time_point expected_start{};   ///< of its last task, as foretold at its admission
    time_point started_at{};       ///< when the first start was sent
    bool started = false;          ///< whether a start was sent
    bool closing = false;          ///< the job is answered and its last runs are being stopped

    auto operator<=>(const job_state_fields&) const = default;
};

/// State of a job in the dispatcher that runs it.
using job_state = value<job_state_fields>;

/// State of a task that may start or has started.
struct task_state {
    std::uint32_t failures = 0;        ///< number of failed runs
    std::uint64_t last_run_number = 0; ///< highest run number used so far
    worker_id avoided_worker;          ///< worker on which the last run did not succeed

    auto operator<=>(const task_state&) const = default;
};

/// Class of a waiting task; earlier classes go first.
enum class waiting_group : std::uint8_t {
    started, ///< a task of the job was started before; the job ends with its last task
    urgent,  ///< a job of the highest priority of which no task was started
    other,
};

/// Class of the tasks of a job of which no task was started.
constexpr waiting_group unstarted_group_of(const job_order_fields& order) noexcept
{
    return order.priority == 0 ? waiting_group::urgent : waiting_group::other;
}

/// Sort key of the waiting tasks; the smallest is offered to the workers first.
struct waiting_rank {
    waiting_group group = waiting_group::other;
    time_point start_by; ///< latest start that lets the job meet its objective
    task_ref task;

    auto operator<=>(const waiting_rank&) const = default;
};

/// Progress of the calls about a run.
enum class run_phase : std::uint8_t {
    starting,       ///< the worker has not answered the start
    running,        ///< the worker has accepted the run
    stopping,       ///< the worker has not answered the stop
    stop_confirmed, ///< the worker has answered the stop, and will not start the run any more
};

/// State of a run that is not known to have ended.
struct run_state {
    task_ref task;
    worker_id worker;
    resources need;
    /// Start of the worker's process that the run was sent to, as in `worker_session`; 0: unknown.
    std::int64_t worker_started_at_ms = 0;
    run_phase phase = run_phase::starting;
    time_point start_sent_at{};
    time_point expected_end{}; ///< from the declared run time and the speed of the worker
    /// When the worker answered the start, or when a stop that it answered has taken effect. A
    /// report that is requested later lists the run unless it has ended.
    time_point confirmed_at = no_deadline;
    /// When its progress last increased, on the worker's clock, so that a report that arrives late
    /// does not count as a stall.
    worker_time progress_at;
    std::uint32_t progress_percent = 0;

    auto operator<=>(const run_state&) const = default;
};

/// A run together with the worker that it was sent to.
struct run_location {
    worker_id worker;
    run_id run;

    auto operator<=>(const run_location&) const = default;
};

/// Room that is kept for the first waiting task that fits nowhere.
struct place_reservation {
    task_ref task;
    worker_id worker; ///< empty: no room is kept
    resources need;
    time_point available_at{}; ///< when the worker is expected to have the room

    auto operator<=>(const place_reservation&) const = default;
};

/// Amount of work, in microseconds of one core.
struct core_time {
    std::int64_t microseconds = 0;

    auto operator<=>(const core_time&) const = default;
};

/// Sort key of the jobs of a service of which no task was started.
struct waiting_job_rank {
    service_name service;
    waiting_group group = waiting_group::other;
    time_point start_by; ///< latest start that lets the job meet its objective
    job_number job;

    auto operator<=>(const waiting_job_rank&) const = default;
};

/// A job of which no task was started.
struct waiting_job {
    queue_name queue;
    core_time work;           ///< expected work of all its tasks
    double cost = 0;          ///< as estimated by `job_cost_policy`
    time_point kept_from;     ///< from this instant on it does not yield to other jobs
    bool underserved = false; ///< its queue, or its size of job, had got too little room

    auto operator<=>(const waiting_job&) const = default;
};

/// Work that waits for the workers of a service.
struct service_backlog {
    core_time started;   ///< waiting tasks of jobs that have started
    core_time unstarted; ///< jobs of which no task was started

    auto operator<=>(const service_backlog&) const = default;
};

/// Run times measured for the tasks of a queue.
struct queue_statistics {
    double run_time_factor = 1; ///< moving average of measured divided by declared run time
    /// Moving average of measured run time divided by the declared one and by the slowness of
    /// workers like the one that was measured.
    double relative_factor = 1;

    auto operator<=>(const queue_statistics&) const = default;
};

/// A caller's job that is not answered yet, on the host that accepted it.
struct accepted_call_fields {
    job_order order;
    delegation_id delegation;           ///< of the current attempt
    host_name dispatcher;               ///< host that the job is delegated to; empty: none yet
    std::uint32_t attempts = 0;         ///< number of delegations so far
    time_point answer_by = no_deadline; ///< when the caller stops waiting
    std::vector<host_name> refused_by;  ///< dispatchers that refused the job
    refusal_reason last_refusal = refusal_reason::none; ///< of those

    auto operator<=>(const accepted_call_fields&) const = default;
};

using accepted_call = value<accepted_call_fields>;

/// A caller's job that came before the host knew the queues.
struct unmatched_call_fields {
    std::string hostname;
    std::string path;
    job_spec job;
    time_point received_at;
    time_point answer_by; ///< when the caller stops waiting

    auto operator<=>(const unmatched_call_fields&) const = default;
};

using unmatched_call = value<unmatched_call_fields>;

/// A caller's open job together with the call.
struct job_call {
    job_id job;
    call_id call;

    auto operator<=>(const job_call&) const = default;
};

} // namespace papayafall::jobs
