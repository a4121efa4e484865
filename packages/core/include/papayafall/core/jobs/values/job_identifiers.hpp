#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace papayafall::jobs {

using job_id = basic_name<struct job_id_tag>;    ///< chosen by the caller
using queue_name = basic_name<struct queue_tag>; ///< a queue of the configuration
using worker_id = basic_name<struct worker_tag>; ///< a worker as discovery names it
using cell_id = basic_name<struct cell_tag>;     ///< a group of workers with one dispatcher
using label_name = basic_name<struct label_tag>; ///< a property of a worker: its kind or rack
using job_number = basic_number<struct job_tag>; ///< a job at the dispatcher that runs it
using fencing_token = basic_number<struct fencing_tag>;
/// Revision of the platform's store.
using store_revision = basic_number<struct store_revision_tag>;
/// Correlates a delegation with its result; unique within the sending incarnation.
using delegation_id = basic_number<struct delegation_tag>;

/// Instant of a worker's own clock, in milliseconds. Clocks of two lives of a worker, or of two
/// workers, are not comparable.
struct worker_time {
    std::int64_t milliseconds = 0;

    auto operator<=>(const worker_time&) const = default;

    constexpr worker_time operator+(std::chrono::milliseconds it) const noexcept
    {
        return {milliseconds + it.count()};
    }
};

/// One start of one task. Numbers of a task's runs rise.
struct run_id {
    job_id job;
    std::uint32_t occurrence = 0; ///< which repetition of the job
    std::uint32_t step = 0;
    std::uint32_t task = 0; ///< index within the step
    std::uint64_t number = 0;

    auto operator<=>(const run_id&) const = default;
};

} // namespace papayafall::jobs
