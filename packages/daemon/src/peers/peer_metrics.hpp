#pragma once

#include "papayafall/core/errors/error_id.hpp"
#include "papayafall/wire/peer/frame.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace papayafall::detail {

/// Why a link was closed.
enum class close_reason : std::uint8_t {
    peer_closed,     ///< the peer or the network ended the connection
    connect_timeout, ///< no connection, or no valid first frame, in time
    silent,          ///< nothing arrived for too long
    rejected,        ///< a frame was not acceptable
    overloaded,      ///< more waited on the link than its bounds allow
    idle,            ///< nothing was sent for long
    shutdown,        ///< this process ends
};

/// Number of the kind "heartbeat", after those of the messages on a link.
inline constexpr std::size_t heartbeat_kind = peer_message_kind_count;

/// Counters of the traffic with peers.
class peer_metrics {
  public:
    explicit peer_metrics(prometheus::Registry& registry);

    /// Counts a message; `kind` is an index of `peer_message`, or `heartbeat_kind`.
    void count_sent(std::size_t kind, std::size_t size) { sent_.at(kind).add(size); }

    void count_received(std::size_t kind, std::size_t size) { received_.at(kind).add(size); }

    /// Counts a message that was received or was to be sent, and was dropped.
    void count_rejected(error_id id);

    void count_opened(link_role own_role) { links(own_role).Increment(); }

    void count_closed(link_role own_role, close_reason reason);

  private:
    struct traffic {
        prometheus::Counter* messages;
        prometheus::Counter* bytes;

        void add(std::size_t size)
        {
            messages->Increment();
            bytes->Increment(static_cast<double>(size));
        }
    };

    using traffic_by_kind = std::array<traffic, peer_message_kind_count + 1>;

    static traffic_by_kind make_traffic(prometheus::Registry& registry, const char* direction);

    prometheus::Gauge& links(link_role own_role);

    traffic_by_kind sent_;
    traffic_by_kind received_;
    prometheus::Family<prometheus::Counter>* rejected_;
    prometheus::Family<prometheus::Counter>* closed_;
    prometheus::Family<prometheus::Gauge>* links_;
};

} // namespace papayafall::detail
