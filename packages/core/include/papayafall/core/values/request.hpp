#pragma once

#include "papayafall/core/values/bytes.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/request_key.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace papayafall {

/// Declared importance of a request; a lower value goes first.
enum class urgency_level : std::uint8_t { urgent = 0, normal = 1, background = 2 };

/// Urgency where neither the request nor its service declares one.
inline constexpr urgency_level default_urgency = urgency_level::normal;

/// One unit of work of a request.
struct task {
    bytes body;
    /// Run time that the caller expects; a hint that may be far off.
    std::optional<duration> declared_run_time;

    auto operator<=>(const task&) const = default;
};

/// Largest number of tasks of one job.
inline constexpr std::size_t max_tasks_per_job = 200;

struct request_fields {
    service_name service;
    team_name team;
    /// Empty for a request that cannot be resubmitted.
    std::optional<request_key> key;
    /// Hash over service, team, kind and bodies; the same key with another fingerprint is refused.
    std::uint64_t fingerprint = 0;
    /// A single request has one task; a job may have several and gets one answer.
    std::vector<task> tasks;
    /// Instant after which the caller has no use for an answer.
    time_point deadline = no_deadline;
    /// Empty where the caller names none: the urgency that the service declares applies.
    std::optional<urgency_level> urgency;

    auto operator<=>(const request_fields&) const = default;
};

/// What a caller asks for: a single request or a job.
using request = value<request_fields>;

} // namespace papayafall
