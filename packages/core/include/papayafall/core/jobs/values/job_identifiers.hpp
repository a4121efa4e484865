#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace papayafall::jobs {

using job_id = basic_name<struct job_id_tag>;    ///< chosen by the caller
using queue_name = basic_name<struct queue_tag>; ///< a queue in the configuration
using worker_id = basic_name<struct worker_tag>; ///< a worker's name in service discovery
using cell_id = basic_name<struct cell_tag>; ///< a group of workers that one dispatcher controls
using label_name = basic_name<struct label_tag>; ///< a property of a worker: its type or rack
using job_number = basic_number<struct job_tag>; ///< a job within the dispatcher that runs it
/// Increases with every change of a cell's holder; a worker rejects calls with a lower token than
/// the highest that it has seen.
using fencing_token = basic_number<struct fencing_tag>;
/// Revision of an entry in the platform's store; increases with every write.
using store_revision = basic_number<struct store_revision_tag>;
/// Correlates a delegation with its result. Unique within one incarnation of the sending host.
using delegation_id = basic_number<struct delegation_tag>;

/// Instant on a worker's own steady clock, in milliseconds. Not comparable between workers, nor
/// across a restart of a worker.
struct worker_time {
    std::int64_t milliseconds = 0;

    auto operator<=>(const worker_time&) const = default;

    constexpr worker_time operator+(std::chrono::milliseconds it) const noexcept
    {
        return {milliseconds + it.count()};
    }
};

/// Identifies a task across all submissions of its job and on all hosts.
struct task_id {
    job_id job;
    std::uint32_t step = 0; ///< index within the job
    std::uint32_t task = 0; ///< index within the step

    auto operator<=>(const task_id&) const = default;
};

/// Identifies one run, which is one attempt to execute a task. Later runs of a task have higher
/// numbers.
struct run_id {
    job_id job;
    std::uint32_t occurrence = 0; ///< index of the repetition of the job
    std::uint32_t step = 0;       ///< index within the job
    std::uint32_t task = 0;       ///< index within the step
    std::uint64_t number = 0;

    auto operator<=>(const run_id&) const = default;
};

} // namespace papayafall::jobs
