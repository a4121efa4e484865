#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// IP address and port, both as numbers.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// A seat: one share of the callers' own keys, homed in one zone.
struct seat_id {
    zone_name zone;
    std::uint32_t number = 0;

    auto operator<=>(const seat_id&) const = default;
};

struct heartbeat_fields {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    std::uint64_t sequence = 0; ///< rises with each heartbeat of the incarnation
    endpoint link;              ///< where the host accepts peers (TCP)
    endpoint datagrams;         ///< where the host accepts heartbeats (UDP)
    revision_id revision;       ///< configuration in force on the host
    std::uint32_t free_slots = 0;
    std::uint32_t queued_tasks = 0;
    bool leaving = false;
    std::vector<seat_id> seats; ///< seats whose lease the host holds
    /// Targets that refuse new work, by the host's own evidence.
    std::vector<target_name> leaving_targets;

    auto operator<=>(const heartbeat_fields&) const = default;
};

/// State that an entry host tells its peers.
using heartbeat = value<heartbeat_fields>;

struct host_state_fields {
    heartbeat last_heartbeat;
    /// Without a further heartbeat the host counts as gone from here on.
    time_point alive_until;

    auto operator<=>(const host_state_fields&) const = default;
};

/// A peer as this host sees it.
using host_state = value<host_state_fields>;

/// A target as the platform's host list gives it.
struct target_entry {
    target_name name;
    zone_name zone;
    endpoint address;
    std::uint32_t slots = 1;
    bool leaving = false;

    auto operator<=>(const target_entry&) const = default;
};

/// An entry host as the platform's host list gives it.
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

/// The platform's lagging list of hosts.
using host_list_snapshot = value<host_list_fields>;

} // namespace papayafall
