#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <vector>

namespace papayafall {

/// Whether a target may get new work.
enum class target_stage : std::uint8_t {
    healthy,
    careful, ///< changed hands or came back a moment ago: fewer slots are used
    ejected, ///< fails what it starts: no work until its probe is due
    probing, ///< one task at a time until one succeeds
    leaving, ///< no new work any more
};

struct target_state_fields {
    target_entry entry;
    /// Whether this host is the one that dispatches to the target.
    bool owned = false;
    target_stage stage = target_stage::healthy;
    /// Instant at which the stage changes by itself.
    time_point stage_ends_at = no_deadline;
    /// Slots that may be in use in the present stage.
    std::uint32_t usable_slots = 0;
    std::uint32_t consecutive_failures = 0;
    /// Number of ejections in a row; each doubles the time until the next probe.
    std::uint32_t ejections = 0;
    /// Recent outcomes: both are halved when their sum reaches a bound.
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    /// Recent run time against what was expected, in thousandths.
    std::uint32_t relative_run_time_permille = 1000;
    /// The target itself reported that it is leaving; heartbeats pass this on to peers.
    bool announced_leaving = false;
    /// Whether the last host list that was accepted names the target.
    bool listed = true;

    auto operator<=>(const target_state_fields&) const = default;
};

/// A target as this host judges it.
using target_state = value<target_state_fields>;

/// Share of the recent attempts that the target failed, in thousandths.
inline std::uint64_t failed_permille(const target_state& target) noexcept
{
    constexpr std::uint64_t permille = 1000;
    const std::uint64_t outcomes = target->failures + target->successes;
    return outcomes == 0 ? 0 : target->failures * permille / outcomes;
}

/// Sums over the targets that this host dispatches to. Each target weighs the same, so that one
/// that fails fast, and so gets much work, does not look like its zone.
struct zone_health {
    std::uint32_t owned = 0;
    std::uint32_t ejected = 0; ///< of the owned ones, those ejected or probing
    /// Owned and neither ejected nor leaving; the sums are over these.
    std::uint32_t in_service = 0;
    std::uint64_t failed_permille = 0;
    std::uint64_t relative_run_time_permille = 0;

    auto operator<=>(const zone_health&) const = default;
};

/// How the targets of the zone are divided among its live entry hosts.
struct target_division {
    std::vector<host_name> hosts; ///< in the order of their names
    /// Instant from which the hosts are looked through again.
    time_point next_check{};
    /// Host lists in a row that were not accepted.
    std::uint32_t consecutive_doubtful_lists = 0;

    auto operator<=>(const target_division&) const = default;
};

} // namespace papayafall
