#pragma once

#include "papayafall/core/values/bytes.hpp"
#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/work.hpp"

#include <chrono>
#include <compare>
#include <cstddef>

namespace papayafall {

/// Resource limits and timeouts of the TCP links to peers.
struct peer_limits {
    /// Interval between keep-alive frames on a link that sends nothing else.
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// A link is closed when no frame arrives for this long.
    duration receive_timeout = std::chrono::seconds(2);
    /// Time limit for connecting and for the handshake together.
    duration connect_timeout = std::chrono::seconds(1);
    /// Time after the deadline of a request until which its answer is still accepted. A request
    /// that is answered at once and has no deadline expires this long after it was posted.
    duration reply_grace_period = std::chrono::seconds(30);
    /// An outgoing link is closed when no message was queued on it for this long and none is
    /// pending.
    duration idle_timeout = std::chrono::seconds(60);
    /// Maximum approximate size of the messages that are queued or unsent on one link, in bytes.
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
    /// Maximum number of messages of one link that are queued or awaiting an answer.
    std::size_t max_pending_messages = 100'000;
    std::size_t max_outgoing_links = 1024;
    std::size_t max_incoming_links = 1024;

    auto operator<=>(const peer_limits&) const = default;
};

/// Settings of the traffic between dispatcher processes.
struct peer_options {
    peer_id self;
    zone_name zone;
    endpoint link;      ///< TCP address on which links are accepted; port 0 selects a free port
    endpoint datagrams; ///< UDP address that receives heartbeats; port 0 selects a free port
    bytes shared_key;   ///< key that authenticates messages; at least `min_shared_key_size` bytes
    peer_limits limits;

    auto operator<=>(const peer_options&) const = default;
};

} // namespace papayafall
