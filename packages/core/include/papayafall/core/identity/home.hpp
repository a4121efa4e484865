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

/// This process is the home of the key: it decides whether the key may start work.
struct local_home {
    auto operator<=>(const local_home&) const = default;
};

/// A live peer is the home of the key.
struct peer_home {
    peer_id peer;
    endpoint link;

    auto operator<=>(const peer_home&) const = default;
};

/// Home of a key, or a `failure` if no home can be found or reached at present.
using home_location = std::variant<local_home, peer_home, failure>;

/// Returns the seat that `key` hashes to, or nothing if the configuration defines no seats.
/// Complexity: linear in the number of zones.
std::optional<seat_id> seat_for_key(const configuration& current, const caller_key& key);

/// Finds the home of `key` from membership, seats and configuration on the blackboard.
/// @return the home, or a failure with an unknown outcome if the home is lost or unreachable,
///         because the work may have run there
home_location locate_home(const blackboard& board, const request_key& key, time_point now);

/// Checks whether this process, as the home of `key`, may start work for `key` if it has no record
/// of it.
/// @return nothing if it may, otherwise the failure to answer with
std::optional<failure> check_first_use(const blackboard& board, const request_key& key,
                                       const clock_reading& now);

} // namespace papayafall
