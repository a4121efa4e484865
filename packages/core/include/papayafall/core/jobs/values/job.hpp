#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/jobs/values/resources.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace papayafall::jobs {

/// A step of a job: `count` identical tasks that may start once all preceding steps are done.
struct job_step {
    std::uint32_t count = 0;                 ///< number of tasks
    resources need;                          ///< resources that each task occupies while it runs
    duration estimated_run_time{};           ///< of one task, as declared by the caller
    std::vector<std::uint32_t> predecessors; ///< indices of the steps that have to be done first
    label_name required_label;        ///< tasks run only on workers with this label; empty: any
    label_name preferred_rack;        ///< rack of the input data; tasks run longer elsewhere
    std::uint32_t max_per_worker = 0; ///< concurrent tasks of the step on one worker; 0: no limit
    bool speculative = false;         ///< a task may have several concurrent runs
    bool gang = false;                ///< all tasks have to run at the same time

    auto operator<=>(const job_step&) const = default;
};

/// Execution options of a job. They can be combined.
struct job_options {
    bool best_effort = false;      ///< may be dropped when the caller's connection ends
    bool long_running = false;     ///< runs until it is cancelled
    std::uint32_t repetitions = 0; ///< 0: the job is executed once

    auto operator<=>(const job_options&) const = default;
};

struct job_spec_fields {
    job_id id;
    std::string payload; ///< opaque to the dispatcher; passed to every task
    std::vector<job_step> steps;
    job_options options;

    auto operator<=>(const job_spec_fields&) const = default;
};

/// A job as submitted by the caller.
using job_spec = value<job_spec_fields>;

// Limits of a job's numbers, far above any that makes sense, so that arithmetic with them is safe.

/// Tasks of all steps together; a larger job would take a good part of a small host's memory.
inline constexpr std::uint64_t max_job_tasks = 10'000;
/// Each amount of resources that a task asks for.
inline constexpr std::int64_t max_resource_amount = 10'000'000;
inline constexpr duration max_run_time = std::chrono::hours(1);

/// Whether each step depends on earlier ones only and all numbers are within their limits.
bool is_valid(const job_spec_fields& job);

/// Returns the length of the critical path: the largest sum of estimated run times along a chain
/// of dependent steps.
duration critical_path_duration(const job_spec_fields& job);

struct job_order_fields {
    job_spec job;
    queue_name queue;
    service_name service;
    std::uint64_t configuration_version = 0; ///< configuration that queue and service come from
    std::uint32_t max_attempts = 1;          ///< failed runs of one task after which the job fails
    std::uint32_t priority = 0;              ///< 0 is the highest
    time_point received_at;                  ///< when the entry host received the job
    time_point objective_deadline;           ///< an answer after this instant counts as late
    /// An answer after this instant is useless, or the caller has stopped waiting.
    time_point expires_at;

    auto operator<=>(const job_order_fields&) const = default;
};

/// A job with the settings of its queue applied, as it is handed to a dispatcher.
using job_order = value<job_order_fields>;

/// Final result of a job.
enum class job_outcome : std::uint8_t {
    succeeded,
    failed,        ///< a task failed `max_attempts` times
    refused,       ///< no task was started, and none will be
    interrupted,   ///< tasks may have run; all of them have ended or are being stopped
    unknown_queue, ///< no queue of that name or path is configured
    unsupported,   ///< the job's options are not supported; no task was started
    cancelled,     ///< by the caller
};

/// Name of the outcome in log lines.
const char* to_string(job_outcome it) noexcept;

} // namespace papayafall::jobs
