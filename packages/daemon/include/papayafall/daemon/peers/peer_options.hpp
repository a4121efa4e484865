#pragma once

#include "papayafall/core/values/bytes.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/work.hpp"

#include <chrono>
#include <compare>
#include <cstddef>

namespace papayafall {

/// Bounds on what the links to peers may hold and on how long they wait.
struct peer_limits {
    /// A link that sent nothing else for this time sends a heartbeat.
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// A link on which nothing arrives for this time is closed.
    duration receive_timeout = std::chrono::seconds(2);
    /// Time to connect and to exchange the first frames.
    duration connect_timeout = std::chrono::seconds(1);
    /// Time that a peer's answer may come after the deadline of its request.
    duration reply_grace_period = std::chrono::seconds(30);
    /// An outgoing link that carried no message for this time is closed.
    duration idle_timeout = std::chrono::seconds(60);
    /// Content of the messages of one link that wait to be written, in bytes.
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
    /// Messages of one link that wait to be written or to be answered.
    std::size_t max_pending_messages = 100'000;
    std::size_t max_outgoing_links = 1024;
    std::size_t max_incoming_links = 1024;

    auto operator<=>(const peer_limits&) const = default;
};

/// Settings of the traffic between the system's own processes.
struct peer_options {
    peer_id self;
    zone_name zone;
    endpoint link;      ///< where to accept peers (TCP); port 0 for any free one
    endpoint datagrams; ///< where to accept heartbeats (UDP); port 0 for any free one
    bytes shared_key;   ///< at least `min_shared_key_size` bytes
    peer_limits limits;

    auto operator<=>(const peer_options&) const = default;
};

} // namespace papayafall
