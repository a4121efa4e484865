#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

namespace papayafall {

struct self_state_fields {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint link;
    endpoint datagrams;
    /// Set once the process was asked to end.
    bool leaving = false;
    /// When `leaving`: instant from which new requests are refused.
    time_point refuse_from = no_deadline;
    /// When `leaving`: instant at which the process stops, whatever is in progress.
    time_point stop_at = no_deadline;

    auto operator<=>(const self_state_fields&) const = default;
};

/// What this process is.
using self_state = value<self_state_fields>;

} // namespace papayafall
