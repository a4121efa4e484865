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

/// Declared urgency of a request; lower values are served first.
enum class urgency_level : std::uint8_t { urgent = 0, normal = 1, background = 2 };

/// Urgency if neither the request nor its service declares one.
inline constexpr urgency_level default_urgency = urgency_level::normal;

/// One unit of work of a request.
struct task {
    bytes body;
    /// Run time that the caller expects; a hint that may be far from the actual one.
    std::optional<duration> declared_run_time;

    auto operator<=>(const task&) const = default;
};

/// Largest number of tasks in one job.
inline constexpr std::size_t max_tasks_per_job = 200;

struct request_fields {
    service_name service;
    team_name team;
    /// Key of the submission; empty if the request cannot be resubmitted.
    std::optional<request_key> key;
    /// Hash of service, team, kind and bodies. A key is refused if it was used before with another
    /// fingerprint.
    std::uint64_t fingerprint = 0;
    /// A single request has one task; a job may have several, which get one common answer.
    std::vector<task> tasks;
    /// Instant by which the caller needs the answer.
    time_point deadline = no_deadline;
    /// Empty if the caller names none; then the urgency of the service applies.
    std::optional<urgency_level> urgency;

    auto operator<=>(const request_fields&) const = default;
};

/// Request of a caller: a single request or a job.
using request = value<request_fields>;

} // namespace papayafall
