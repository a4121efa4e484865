#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>

namespace papayafall {

/// Whether this process holds a seat or is claiming it.
enum class seat_phase : std::uint8_t { free, claiming, held };

struct seat_state_fields {
    seat_phase phase = seat_phase::free;
    /// A UUIDv7 key is accepted only if it was created after this instant: an earlier holder of the
    /// seat may have started the tasks of older keys.
    wall_time accept_keys_created_after{};
    /// Instant from which keys without a creation time are accepted, for the same reason.
    time_point accept_undated_keys_from{};
    /// Earliest instant of the next claim while the seat is not held: while claiming, the instant
    /// at which an unanswered claim is repeated.
    time_point next_claim_at{};
    /// Number of the acquisition in which this process last held the seat; zero before the first.
    /// It, `accept_keys_created_after` and `accept_undated_keys_from` are kept when the seat is
    /// lost.
    std::uint64_t generation = 0;

    auto operator<=>(const seat_state_fields&) const = default;
};

/// What this process knows about a seat of its own zone.
using seat_state = value<seat_state_fields>;

} // namespace papayafall
