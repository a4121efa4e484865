#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// Numeric IP address and port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// A seat: one partition of the callers' own keys, assigned to a zone. The host that holds the seat
/// under its platform session is the home of these keys, where their requests are decided on.
struct seat_id {
    zone_name zone;
    std::uint32_t number = 0;

    auto operator<=>(const seat_id&) const = default;
};

struct heartbeat_fields {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of the incarnation
    endpoint link;              ///< where the host accepts links from peers (TCP)
    endpoint datagrams;         ///< where the host receives heartbeats (UDP)
    revision_id revision;       ///< configuration in force on the host
    std::uint32_t free_slots = 0;
    std::uint32_t queued_tasks = 0;
    bool leaving = false;       ///< whether the host is shutting down
    std::vector<seat_id> seats; ///< seats that the host holds under a valid lease
    /// Targets that told this host that they accept no new tasks.
    std::vector<target_name> leaving_targets;

    auto operator<=>(const heartbeat_fields&) const = default;
};

/// State that an entry host sends to its peers periodically.
using heartbeat = value<heartbeat_fields>;

struct host_state_fields {
    heartbeat last_heartbeat;
    /// Instant from which the host counts as gone unless another heartbeat arrives.
    time_point alive_until;

    auto operator<=>(const host_state_fields&) const = default;
};

/// What this host knows about a peer.
using host_state = value<host_state_fields>;

/// A target in the platform's host list.
struct target_entry {
    target_name name;
    zone_name zone;
    endpoint address;
    std::uint32_t slots = 1;
    bool leaving = false;

    auto operator<=>(const target_entry&) const = default;
};

/// An entry host in the platform's host list.
struct peer_entry {
    host_name name;
    zone_name zone;
    endpoint datagrams;
    bool leaving = false;

    auto operator<=>(const peer_entry&) const = default;
};

struct host_list_fields {
    std::vector<peer_entry> peers;
    std::vector<target_entry> targets;

    auto operator<=>(const host_list_fields&) const = default;
};

/// The platform's list of entry hosts and targets; it lags behind their actual state.
using host_list_snapshot = value<host_list_fields>;

} // namespace papayafall
