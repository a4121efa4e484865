#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/values/answer.hpp"
#include "papayafall/core/values/clock_reading.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/request_key.hpp"
#include "papayafall/core/values/work.hpp"

#include <optional>
#include <variant>

namespace papayafall {

/// This process decides about the key.
struct home_here {
    auto operator<=>(const home_here&) const = default;
};

/// A live peer decides about the key.
struct home_at_peer {
    peer_id peer;
    endpoint link;

    auto operator<=>(const home_at_peer&) const = default;
};

/// Where the decision about a key is made; `failure` where nobody can decide at present.
using home_location = std::variant<home_here, home_at_peer, failure>;

/// The seat that homes `key`, or nothing where the configuration gives no zone a seat.
/// Complexity: linear in the number of zones.
std::optional<seat_id> seat_of(const configuration& current, const caller_key& key);

/// Finds the home of `key` from membership, seats and configuration on the blackboard.
/// A key whose home is gone fails with an unknown outcome: its work may have run there.
home_location locate_home(const blackboard& board, const request_key& key, time_point now);

/// Whether this process, as home of `key`, may start work for a key that it has no record of.
/// @return nothing when it may; otherwise the failure to answer with
std::optional<failure> check_first_use(const blackboard& board, const request_key& key,
                                       const clock_reading& now);

} // namespace papayafall
