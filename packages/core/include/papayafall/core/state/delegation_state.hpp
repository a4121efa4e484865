#pragma once

#include "papayafall/core/values/host.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Tasks that were delegated to a peer since its last heartbeat.
struct delegation_state {
    std::uint64_t heartbeat_sequence = 0; ///< sequence of that heartbeat
    std::uint32_t tasks = 0;

    auto operator<=>(const delegation_state&) const = default;
};

} // namespace papayafall
