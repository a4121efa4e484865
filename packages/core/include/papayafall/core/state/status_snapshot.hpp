#pragma once

#include "papayafall/core/state/applied_change.hpp"
#include "papayafall/core/state/seat_state.hpp"
#include "papayafall/core/state/self_state.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstddef>
#include <vector>

namespace papayafall {

/// One seat of this host's zone.
struct seat_status {
    seat_id seat;
    seat_state state;
    bool homes_keys = false; ///< whether this host is now the home of the seat's keys

    auto operator<=>(const seat_status&) const = default;
};

struct status_fields {
    self_state self;
    configuration current_configuration;
    applied_change last_change; ///< how `current_configuration` was applied
    std::vector<host_state> hosts;
    std::vector<target_state> targets;
    std::vector<seat_status> seats;
    std::size_t submission_records = 0; ///< submissions on record, open and closed
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
    std::size_t forwarded_requests = 0; ///< requests that wait for the answer of their home
    bool ready = false;                 ///< whether new requests can be served now

    auto operator<=>(const status_fields&) const = default;
};

/// State of one process for operators, health checks and metrics.
using status_snapshot = value<status_fields>;

} // namespace papayafall
