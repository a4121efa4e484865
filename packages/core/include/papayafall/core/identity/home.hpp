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
struct local_home {
    auto operator<=>(const local_home&) const = default;
};

/// A live peer decides about the key.
struct peer_home {
    peer_id peer;
    endpoint link;

    auto operator<=>(const peer_home&) const = default;
};

/// Where the decision about a key is made; `failure` where nobody can decide at present.
using home_location = std::variant<local_home, peer_home, failure>;

/// The seat that homes `key`, or nothing where the configuration gives no zone a seat.
/// Complexity: linear in the number of zones.
std::optional<seat_id> seat_for_key(const configuration& current, const caller_key& key);

/// Finds the home of `key` from membership, seats and configuration on the blackboard.
/// A key whose home is gone fails with an unknown outcome: its work may have run there.
home_location locate_home(const blackboard& board, const request_key& key, time_point now);

/// Whether this process, as home of `key`, may start work for a key that it has no record of.
/// @return nothing when it may; otherwise the failure to answer with
std::optional<failure> check_first_use(const blackboard& board, const request_key& key,
                                       const clock_reading& now);

} // namespace papayafall
