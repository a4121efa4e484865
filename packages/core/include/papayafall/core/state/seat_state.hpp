#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>

namespace papayafall {

enum class seat_phase : std::uint8_t { free, claiming, held };

struct seat_state_fields {
    seat_phase phase = seat_phase::free;
    /// A UUIDv7 key is homed only when it was made after this instant.
    wall_time accept_keys_made_after{};
    /// Any other key is homed only from this instant on.
    time_point accept_undated_keys_from{};
    /// While free: instant of the next claim; while claiming: instant at which the claim is given
    /// up.
    time_point next_claim_at{};
    /// Acquisition in which this process last held the seat; zero before the first. It and the two
    /// limits above outlive the loss of the seat.
    std::uint64_t generation = 0;

    auto operator<=>(const seat_state_fields&) const = default;
};

/// What this process knows about a seat of its own zone.
using seat_state = value<seat_state_fields>;

} // namespace papayafall
