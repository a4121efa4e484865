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
    peer_closed,     ///< the peer closed the connection, or it failed
    connect_timeout, ///< connecting and the handshake took too long
    silent,          ///< no frame arrived within the receive timeout
    rejected,        ///< a frame was invalid, not authentic or not allowed
    overloaded,      ///< too many bytes were unsent
    idle,            ///< no message was sent within the idle timeout
    shutdown,        ///< this process is shutting down
};

/// Kind of a heartbeat datagram in the metrics; follows the indexes of `peer_message`.
inline constexpr std::size_t heartbeat_kind = peer_message_kind_count;

/// Prometheus metrics of the traffic with peers.
class peer_metrics {
  public:
    explicit peer_metrics(prometheus::Registry& registry);

    /// Counts a sent message.
    /// @param kind index in `peer_message`, or `heartbeat_kind`
    /// @param size encoded size in bytes
    void count_sent(std::size_t kind, std::size_t size) { sent_.at(kind).add(size); }

    void count_received(std::size_t kind, std::size_t size) { received_.at(kind).add(size); }

    /// Counts a dropped message, whether received or to be sent.
    void count_rejected(error_id id);

    void count_opened(link_role own_role) { open_links_gauge(own_role).Increment(); }

    void count_closed(link_role own_role, close_reason reason);

  private:
    struct message_counters {
        prometheus::Counter* messages;
        prometheus::Counter* bytes;

        void add(std::size_t size)
        {
            messages->Increment();
            bytes->Increment(static_cast<double>(size));
        }
    };

    using counters_by_kind = std::array<message_counters, peer_message_kind_count + 1>;

    static counters_by_kind make_counters_by_kind(prometheus::Registry& registry,
                                                  const char* direction);

    prometheus::Gauge& open_links_gauge(link_role own_role);

    counters_by_kind sent_;
    counters_by_kind received_;
    prometheus::Family<prometheus::Counter>* rejected_;
    prometheus::Family<prometheus::Counter>* closed_;
    prometheus::Family<prometheus::Gauge>* open_links_;
};

} // namespace papayafall::detail
