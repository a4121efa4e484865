#pragma once

#include "papayafall/core/values/host.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Number of tasks that this host has delegated to a peer since the peer's last heartbeat.
struct delegation_state {
    std::uint64_t heartbeat_sequence = 0; ///< sequence number of that heartbeat
    std::uint32_t tasks = 0;

    auto operator<=>(const delegation_state&) const = default;
};

} // namespace papayafall
