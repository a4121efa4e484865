#pragma once

#include "papayafall/core/jobs/values/job.hpp"
#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// Number of the connection on which a peer delegates; 0 is this process itself.
using link_number = basic_number<struct link_tag>;

/// Who has to be told how a job ended.
struct job_origin {
    link_number link;
    delegation_id delegation;

    auto operator<=>(const job_origin&) const = default;
};

/// One task of a job in progress.
struct task_ref {
    job_number job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

struct job_state_fields {
    job_order order;
    job_origin origin;
    std::vector<std::uint32_t> unfinished_tasks; ///< tasks of each step that are not done
    std::uint32_t waiting = 0;                   ///< tasks that may start
    std::uint32_t active_runs = 0;               ///< runs that are not known to be over
    std::uint32_t starts_sent = 0;               ///< starts that were ordered
    time_point started_at{};                     ///< of the first of them
    bool started = false;                        ///< a start was ordered
    bool closing = false; ///< answered; only its runs are still being stopped

    auto operator<=>(const job_state_fields&) const = default;
};

/// A job at the dispatcher that runs it.
using job_state = value<job_state_fields>;

struct task_state {
    std::uint32_t failures = 0;
    std::uint64_t last_run_number = 0; ///< highest number that was used
    worker_id avoided_worker;          ///< where the last run did not succeed

    auto operator<=>(const task_state&) const = default;
};

/// Waiting tasks of an earlier group go first.
enum class waiting_group : std::uint8_t {
    urgent_started, ///< of queues with the first priority; something of the job was started
    urgent,
    other_started,
    other,
};

/// Order in which waiting tasks are offered to workers.
struct waiting_rank {
    waiting_group group = waiting_group::other;
    time_point start_by;
    task_ref task;

    auto operator<=>(const waiting_rank&) const = default;
};

enum class run_phase : std::uint8_t {
    starting,       ///< the start is not answered
    running,        ///< the worker has it
    stopping,       ///< the stop is not answered
    stop_confirmed, ///< the stop was answered; the worker rejects it from then on
};

/// One run that is not known to be over.
struct run_state {
    task_ref task;
    worker_id worker;
    resources need;
    run_phase phase = run_phase::starting;
    time_point ordered_at{};
    time_point confirmed_at =
        no_deadline;          ///< the worker answered for it: from here reports show it
    time_point progress_at{}; ///< last time that its progress rose
    std::uint32_t progress_percent = 0;

    auto operator<=>(const run_state&) const = default;
};

/// A run and the worker that it was ordered at.
struct run_location {
    worker_id worker;
    run_id run;

    auto operator<=>(const run_location&) const = default;
};

/// Amount of work, in microseconds of one core.
struct core_time {
    std::int64_t microseconds = 0;

    auto operator<=>(const core_time&) const = default;
};

/// What a queue's tasks were seen to take.
struct queue_statistics {
    double run_time_factor = 1; ///< measured over declared run time

    auto operator<=>(const queue_statistics&) const = default;
};

/// A caller's request at the host that accepted it.
struct accepted_call_fields {
    job_order order;
    delegation_id delegation; ///< of the present attempt
    host_name dispatcher;     ///< empty: not placed yet
    std::uint32_t attempts = 0;

    auto operator<=>(const accepted_call_fields&) const = default;
};

using accepted_call = value<accepted_call_fields>;

} // namespace papayafall::jobs
