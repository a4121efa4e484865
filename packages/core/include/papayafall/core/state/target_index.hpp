#pragma once

#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/identifiers.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Position of an owned target among those that may get tasks; the lowest is selected first.
struct target_rank {
    bool full = false; ///< whether no usable slot is free
    /// Used slots after one more start, in thousandths of the usable slots, multiplied by the
    /// relative run time of the target.
    std::uint32_t load = 0;
    /// Orders equally loaded targets differently on each host.
    std::uint64_t tie_break = 0;
    target_name target;

    auto operator<=>(const target_rank&) const = default;
};

/// Index entry of one target.
struct indexed_target {
    target_rank rank;
    std::uint32_t usable = 0;
    slot_usage used;

    bool full() const noexcept { return used.total() >= usable; }

    auto operator<=>(const indexed_target&) const = default;
};

/// Sums over the owned targets that may get tasks.
struct slot_totals {
    std::uint32_t usable = 0;
    std::uint32_t short_running = 0;
    std::uint32_t long_running = 0;
    /// Free usable slots; a target that uses more than its usable slots counts as zero.
    std::uint32_t free = 0;
    /// Number of tasks started so far, and the target of the last one.
    std::uint64_t starts = 0;
    target_name last_started;

    auto operator<=>(const slot_totals&) const = default;
};

} // namespace papayafall
