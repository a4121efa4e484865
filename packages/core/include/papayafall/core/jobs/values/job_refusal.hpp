#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// Why a job was refused.
enum class refusal_reason : std::uint8_t {
    none,                ///< not refused
    no_workers,          ///< the dispatcher controls no worker of the service
    objective_missed,    ///< by the forecast, the job would miss its objective
    displaced,           ///< gave its place in the queue to a job that costs callers more to lose
    expired,             ///< the answer is no longer useful
    no_dispatcher,       ///< no dispatcher accepts jobs
    dispatcher_unlinked, ///< the link to the chosen dispatcher was down
    cancelled,           ///< the caller has cancelled the job
    caller_gone,         ///< the caller has stopped waiting
    stopping,            ///< the process stops
    no_configuration,    ///< the queues are not known yet
    unsupported_kind,    ///< jobs with these options are not run
};

/// Last enumerator of `refusal_reason`.
inline constexpr refusal_reason last_refusal_reason = refusal_reason::unsupported_kind;

/// Name of the reason in log lines and metrics.
const char* to_string(refusal_reason it) noexcept;

/// Refusal of a job that was not started.
struct job_refusal {
    refusal_reason reason = refusal_reason::none;
    /// When the caller may submit the job again; `no_deadline`: the host that answers it decides.
    time_point retry_at = no_deadline;

    auto operator<=>(const job_refusal&) const = default;
};

} // namespace papayafall::jobs
