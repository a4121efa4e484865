#pragma once

#include "papayafall/core/jobs/values/worker.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <vector>

namespace papayafall::jobs {

enum class session_phase : std::uint8_t {
    awaiting_release, ///< the former dispatcher still has runs there
    probing,          ///< its runs and its clock are not known yet
    stopping_strays,  ///< runs of a former dispatcher are being stopped
    ready,
    unreachable, ///< calls fail; what runs there ends with its lease
};

const char* to_string(session_phase it) noexcept;

/// This host as the dispatcher of one worker.
struct worker_session {
    session_phase phase = session_phase::probing;
    cell_id cell;
    fencing_token token;
    std::int64_t started_at_ms = 0;
    worker_time clock;                  ///< as last read
    time_point clock_read_at{};         ///< instant of this process at that reading
    std::uint64_t handled_end = 0;      ///< highest number of an end that was handled
    std::uint64_t acknowledged_end = 0; ///< highest number that the worker was told of
    bool report_pending = false;        ///< a waiting report call is in flight
    time_point report_sent_at{};
    time_point lease_expired_by{};  ///< instant by which every run there has lapsed unless extended
    std::vector<run_id> stray_runs; ///< runs of others that are being stopped
    time_point stray_stop_sent_at{};

    auto operator<=>(const worker_session&) const = default;
};

/// What this host has placed on a worker.
struct worker_load {
    resources used;
    std::uint32_t runs = 0;

    auto operator<=>(const worker_load&) const = default;
};

/// What the runs of a worker say about it.
struct worker_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_stalls = 0;
    time_point avoid_until{}; ///< gets no work before, unless nothing else is there
    double slowness = 1;      ///< measured over estimated run time, against all workers
    std::uint32_t samples = 0;

    auto operator<=>(const worker_health&) const = default;
};

} // namespace papayafall::jobs
