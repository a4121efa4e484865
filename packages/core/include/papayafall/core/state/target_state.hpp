#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <vector>

namespace papayafall {

/// Whether and how far a target may get new tasks.
enum class target_stage : std::uint8_t {
    healthy,
    careful, ///< slow start: new to this host, back from a probe or busy; the usable slots grow
    ejected, ///< failed or was too slow; gets no task until its probe is due
    probing, ///< gets one task at a time until one succeeds
    leaving, ///< gets no new tasks
};

struct target_state_fields {
    target_entry entry;
    /// Whether this host is the one that dispatches tasks to the target.
    bool owned = false;
    target_stage stage = target_stage::healthy;
    /// Instant at which the stage ends without any outcome.
    time_point stage_ends_at = no_deadline;
    /// Number of slots that may be in use in the current stage.
    std::uint32_t usable_slots = 0;
    std::uint32_t consecutive_failures = 0;
    /// Number of ejections in a row; each doubles the time until the next probe, up to a limit.
    std::uint32_t ejections = 0;
    /// Numbers of recent outcomes; both are halved when their sum reaches a limit.
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    /// Smoothed ratio of the actual to the expected run time, in thousandths.
    std::uint32_t relative_run_time_permille = 1000;
    /// Whether the target itself reported that it is leaving; heartbeats pass this on to peers.
    bool announced_leaving = false;
    /// Whether the last accepted host list names the target.
    bool listed = true;

    auto operator<=>(const target_state_fields&) const = default;
};

/// What this host knows about a target of its zone.
using target_state = value<target_state_fields>;

/// Returns the share of the recent attempts that the target failed, in thousandths.
inline std::uint64_t failed_permille(const target_state& target) noexcept
{
    constexpr std::uint64_t permille = 1000;
    const std::uint64_t outcomes = target->failures + target->successes;
    return outcomes == 0 ? 0 : target->failures * permille / outcomes;
}

/// Sums over the targets that this host dispatches to. Each target has the same weight. Weighting
/// by attempts would let a target that fails fast, and so gets many tasks, dominate the mean with
/// which it is compared.
struct zone_health {
    std::uint32_t owned = 0;
    std::uint32_t ejected = 0; ///< owned and ejected or probing
    /// Owned and neither ejected, probing nor leaving; the sums below are over these targets.
    std::uint32_t in_service = 0;
    std::uint64_t failed_permille = 0;
    std::uint64_t relative_run_time_permille = 0;

    auto operator<=>(const zone_health&) const = default;
};

/// How the targets of the zone are divided among its live entry hosts, by rendezvous hashing.
struct target_division {
    std::vector<host_name> hosts; ///< ordered by name
    /// Instant at which the live hosts are checked again.
    time_point next_check{};
    /// Number of consecutive host lists that lacked most of the known targets.
    std::uint32_t consecutive_doubtful_lists = 0;

    auto operator<=>(const target_division&) const = default;
};

} // namespace papayafall
