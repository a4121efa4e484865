#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/jobs/values/resources.hpp"
#include "papayafall/core/values/host.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall::jobs {

struct worker_fields {
    worker_id id;
    service_name service;
    endpoint address;
    zone_name zone;
    std::int64_t started_at_ms = 0; ///< start of this life, wall clock in milliseconds; 0: not told
    bool draining = false;
    resources capacity;
    std::vector<label_name> labels; ///< kind and rack

    auto operator<=>(const worker_fields&) const = default;

    bool has_label(const label_name& wanted) const;
};

/// A worker as discovery describes it.
using worker = value<worker_fields>;

/// How a run ended on its worker.
enum class run_outcome : std::uint8_t { done, failed, stopped, lease_expired, broken, unknown };

const char* to_string(run_outcome it) noexcept;

/// A run that a worker carries out.
struct active_run {
    run_id run;
    std::uint32_t progress_percent = 0; ///< of its work

    auto operator<=>(const active_run&) const = default;
};

/// A run that a worker has ended; numbers rise within one life of the worker.
struct ended_run {
    std::uint64_t sequence = 0;
    run_id run;
    run_outcome outcome = run_outcome::unknown;

    auto operator<=>(const ended_run&) const = default;
};

/// What a worker tells of its runs.
struct worker_report {
    std::int64_t started_at_ms = 0; ///< 0: not told
    worker_time clock;
    std::vector<active_run> running;
    std::vector<ended_run> ended;

    auto operator<=>(const worker_report&) const = default;
};

} // namespace papayafall::jobs
