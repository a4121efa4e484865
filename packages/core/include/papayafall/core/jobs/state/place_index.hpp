#pragma once

#include "papayafall/core/jobs/values/place_counts.hpp"
#include "papayafall/core/jobs/values/worker.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// Sort key of the workers that can be given runs: by service, then by free CPU.
struct free_capacity_key {
    service_name service;
    std::int64_t free_cpu_millis = 0; ///< may be negative if the worker's capacity has shrunk
    worker_id worker;

    auto operator<=>(const free_capacity_key&) const = default;
};

/// What one worker contributes to the index of places.
struct indexed_worker {
    service_name service;
    resources capacity;
    resources free;          ///< not used by runs of this host
    bool ready = false;      ///< can be given runs
    bool takes_jobs = false; ///< its cell is held and its zone not evacuated, so that it is
                             ///< given runs of new jobs, too

    auto operator<=>(const indexed_worker&) const = default;
};

/// Sums over the workers of a service that take new jobs, in thousandths of a core.
struct service_capacity {
    std::uint32_t workers = 0;         ///< including those that are not ready
    std::int64_t total_cpu_millis = 0; ///< including workers that are not ready
    std::int64_t ready_cpu_millis = 0; ///< of ready workers
    std::int64_t free_cpu_millis = 0;  ///< of ready workers
    place_counts places;               ///< on ready workers

    auto operator<=>(const service_capacity&) const = default;
};

/// Number of tasks that find room in `free` side by side.
std::uint32_t places_within(const resources& free, const resources& need) noexcept;

/// Adds or removes the share of one worker.
/// @param added false: the share is removed
service_capacity changed_by(const service_capacity& sum, const indexed_worker& it, bool added);

} // namespace papayafall::jobs
