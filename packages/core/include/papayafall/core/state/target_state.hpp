#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>

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
    time_point stage_until = no_deadline;
    /// Slots that may be in use in the present stage.
    std::uint32_t usable_slots = 0;
    std::uint32_t consecutive_failures = 0;
    /// Number of ejections in a row; each doubles the time until the next probe.
    std::uint32_t ejections = 0;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;

    auto operator<=>(const target_state_fields&) const = default;
};

/// A target as this host judges it.
using target_state = value<target_state_fields>;

} // namespace papayafall
