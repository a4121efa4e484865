#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/jobs/values/resources.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall::jobs {

/// Tasks of a job that are alike.
struct job_step {
    std::uint32_t count = 0;       ///< tasks
    resources need;                ///< of each task
    duration estimated_run_time{}; ///< rough run time of a task, as the caller declared it
    std::vector<std::uint32_t> predecessors;
    label_name required_label;
    label_name preferred_rack;        ///< elsewhere the tasks run longer
    std::uint32_t max_per_worker = 0; ///< 0: no limit
    bool speculative = false;         ///< copies of a task may run at the same time
    bool gang = false;                ///< all tasks run together or not at all

    auto operator<=>(const job_step&) const = default;
};

/// How a job is to be kept and run; more kinds than one may hold.
struct job_options {
    bool best_effort = false;  ///< need not outlive the caller's connection
    bool long_running = false; ///< runs until it is cancelled
    std::uint32_t repetitions = 0;

    auto operator<=>(const job_options&) const = default;
};

struct job_spec_fields {
    job_id id;
    std::string payload; ///< opaque to the dispatcher, passed to every task
    std::vector<job_step> steps;
    job_options options;

    auto operator<=>(const job_spec_fields&) const = default;
};

/// What a caller submitted.
using job_spec = value<job_spec_fields>;

/// Longest chain of declared run times through the steps.
duration critical_path_duration(const job_spec_fields& job);

struct job_order_fields {
    job_spec job;
    queue_name queue;
    service_name service;
    std::uint64_t configuration_version = 0; ///< under which queue and service were chosen
    std::uint32_t max_attempts = 1;          ///< failed runs of a task that fail the job
    std::uint32_t priority = 0;              ///< 0 comes first
    time_point received_at;
    time_point objective_deadline; ///< from here on the answer counts as late
    time_point expires_at;         ///< an answer after this helps nobody, or the caller has left

    auto operator<=>(const job_order_fields&) const = default;
};

/// A job with all that its queue decides about it, as it goes to a dispatcher.
using job_order = value<job_order_fields>;

/// How a job ended.
enum class job_outcome : std::uint8_t {
    succeeded,
    failed,      ///< a task used up its attempts
    refused,     ///< nothing of it was started, and nothing will be
    interrupted, ///< some of it may have run; all of it is over or being stopped
    unknown_queue,
    unsupported, ///< a kind of job that is not served; nothing of it was started
    cancelled,
};

const char* to_string(job_outcome it) noexcept;

} // namespace papayafall::jobs
