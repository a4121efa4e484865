#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

namespace papayafall {

struct self_state_fields {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint link;      ///< where the process accepts links from peers (TCP)
    endpoint datagrams; ///< where the process receives heartbeats (UDP)
    /// Whether the process was asked to shut down.
    bool leaving = false;
    /// If `leaving`: instant from which new requests are refused.
    time_point refuse_from = no_deadline;
    /// If `leaving`: instant at which the process stops, even with work in progress.
    time_point stop_at = no_deadline;

    auto operator<=>(const self_state_fields&) const = default;
};

/// Identity, addresses and shutdown state of this process.
using self_state = value<self_state_fields>;

} // namespace papayafall
