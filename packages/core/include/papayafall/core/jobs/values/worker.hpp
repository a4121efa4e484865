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
    /// Start of the process, in wall-clock milliseconds; 0: unknown.
    std::int64_t started_at_ms = 0;
    bool draining = false;          ///< finishes its runs and takes no new ones
    resources capacity;             ///< total resources for runs
    std::vector<label_name> labels; ///< type and rack

    auto operator<=>(const worker_fields&) const = default;

    bool has_label(const label_name& wanted) const;
};

/// A worker as described by service discovery.
using worker = value<worker_fields>;

/// Result of a run, as reported by its worker or concluded from the worker's state.
enum class run_outcome : std::uint8_t {
    done,
    failed,
    stopped,
    lease_expired,  ///< the worker ended the run because its lease had expired
    broken,         ///< the run ended abnormally
    worker_crashed, ///< the worker's process ended while it had the run
    unknown,
};

/// Name of the outcome in log lines.
const char* to_string(run_outcome it) noexcept;

/// A run that is in progress on a worker.
struct active_run {
    run_id run;
    std::uint32_t progress_percent = 0; ///< share of the work that is done

    auto operator<=>(const active_run&) const = default;
};

/// A run that has ended on a worker. Sequence numbers increase until the worker restarts.
struct ended_run {
    std::uint64_t sequence = 0;
    run_id run;
    run_outcome outcome = run_outcome::unknown;

    auto operator<=>(const ended_run&) const = default;
};

/// Status report of a worker about its runs.
struct worker_report {
    /// Start of the process, in wall-clock milliseconds; 0: unknown.
    std::int64_t started_at_ms = 0;
    worker_time clock; ///< when the report was made
    std::vector<active_run> running;
    std::vector<ended_run> ended;

    auto operator<=>(const worker_report&) const = default;
};

} // namespace papayafall::jobs
