#pragma once

#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <vector>

namespace papayafall::jobs {

/// Phase of taking control of a worker.
enum class session_phase : std::uint8_t {
    awaiting_release, ///< the previous dispatcher still has runs on the worker
    probing,          ///< the first report is awaited; runs and clock are unknown
    stopping_strays,  ///< runs that this dispatcher did not start are being stopped
    ready,            ///< the worker can be given runs
    unreachable,      ///< calls fail; its runs end when their lease expires
};

/// Name of the phase in log lines.
const char* to_string(session_phase it) noexcept;

/// State of the control that this host has over a worker.
struct worker_session {
    session_phase phase = session_phase::probing;
    cell_id cell;
    endpoint address; ///< as last listed
    fencing_token token;
    std::int64_t started_at_ms = 0; ///< start of the worker's process; 0: unknown
    worker_time clock;              ///< last reading of the worker's clock
    time_point clock_read_at{};     ///< time of that reading on this process's clock
    std::uint64_t handled_end = 0;  ///< highest sequence number of an ended run that was processed
    std::uint64_t acknowledged_end = 0; ///< highest sequence number acknowledged to the worker
    bool report_pending = false;        ///< a long-poll report call is in flight
    time_point report_sent_at{};        ///< when the last report call was sent
    time_point lease_expired_by{};      ///< when the leases of all its runs have certainly expired
    std::vector<run_id> stray_runs;     ///< running, but not started by this dispatcher
    time_point stray_stop_sent_at{};    ///< when they were last sent a stop
    bool connection_refused = false;    ///< at the last attempt to reach it

    auto operator<=>(const worker_session&) const = default;
};

/// A task whose run was lost on a worker.
struct lost_run_key {
    task_id task;
    worker_id worker;

    auto operator<=>(const lost_run_key&) const = default;
};

/// Load that this host has placed on a worker.
struct worker_load {
    resources used;         ///< by the runs
    std::uint32_t runs = 0; ///< number of runs

    auto operator<=>(const worker_load&) const = default;
};

/// Health of a worker, derived from its runs.
struct worker_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_stalls = 0;
    time_point avoid_until{}; ///< until then it gets runs only if all workers are avoided
    double slowness = 1; ///< run times relative to what is expected on all workers; 1: as expected
    std::uint32_t samples = 0; ///< number of runs in `slowness`

    auto operator<=>(const worker_health&) const = default;
};

} // namespace papayafall::jobs
