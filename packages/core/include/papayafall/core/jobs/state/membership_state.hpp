#pragma once

#include "papayafall/core/jobs/values/membership.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// How closely the workers in the store are followed.
enum class worker_view : std::uint8_t {
    current,     ///< all changes are followed
    catching_up, ///< the workers are being listed, and will then be followed
    listed,      ///< listed from time to time
};

/// Claim of a cell as last seen in the store.
struct claim_state {
    cell_claim claim;
    bool listed = false; ///< false: the claim was removed since
    time_point changed_at{};

    auto operator<=>(const claim_state&) const = default;
};

/// Phase of a cell that this host controls.
enum class cell_phase : std::uint8_t {
    held,
    releasing, ///< another host claimed it; each worker is handed over when its runs end
};

/// A cell whose workers this host controls.
struct held_cell {
    cell_phase phase = cell_phase::held;
    fencing_token token;
    host_name previous_holder; ///< holder that may still have runs on the workers; empty: none
    host_name next_holder;     ///< host that claimed the cell, in phase `releasing`
    /// When the previous holder, or in phase `releasing` this host, gives up the remaining workers.
    time_point release_deadline = no_deadline;

    auto operator<=>(const held_cell&) const = default;
};

/// A claim that was sent to the store and is not answered yet.
struct pending_claim {
    time_point sent_at{};
    host_name previous_holder; ///< if it may release the workers one by one; else empty

    auto operator<=>(const pending_claim&) const = default;
};

/// State of the connection to another entry host.
struct peer_state {
    incarnation_id incarnation;
    bool connected = false;
    time_point changed_at{};          ///< when the connection was established or lost
    load_report load;                 ///< as last received
    time_point reported_at{};         ///< when it was received
    std::int64_t sent_cpu_millis = 0; ///< demand of the jobs delegated to it after that report
    time_point keep_until{};          ///< when the link may be closed unless jobs depend on it

    auto operator<=>(const peer_state&) const = default;
};

} // namespace papayafall::jobs
