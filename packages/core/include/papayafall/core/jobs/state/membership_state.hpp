#pragma once

#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// The claim of a cell as last seen in the store.
struct claim_state {
    cell_claim claim;
    bool listed = false; ///< the key is there
    time_point changed_at{};

    auto operator<=>(const claim_state&) const = default;
};

/// What became of a cell that this host claimed.
enum class cell_phase : std::uint8_t {
    held,
    releasing, ///< another host claimed it; workers go over as their runs end
};

struct held_cell {
    cell_phase phase = cell_phase::held;
    fencing_token token;
    host_name previous_holder; ///< holder before this host, while it may still release workers
    host_name next_holder;     ///< the host that claimed it, while releasing
    time_point release_deadline = no_deadline;

    auto operator<=>(const held_cell&) const = default;
};

/// A claim that was sent to the store and not answered yet.
struct pending_claim {
    time_point sent_at{};
    host_name previous_holder;

    auto operator<=>(const pending_claim&) const = default;
};

/// The link to another entry host.
struct peer_state {
    incarnation_id incarnation;
    bool connected = false;
    time_point changed_at{}; ///< connected or lost
    load_report load;
    std::uint32_t sent_since_report = 0; ///< jobs sent there after its last report

    auto operator<=>(const peer_state&) const = default;
};

} // namespace papayafall::jobs
