#include "peer_metrics.hpp"

#include <string>

namespace papayafall::detail {

namespace {

std::string_view to_string(close_reason reason) noexcept
{
    switch (reason) {
    case close_reason::peer_closed:
        return "peer_closed";
    case close_reason::connect_timeout:
        return "connect_timeout";
    case close_reason::silent:
        return "silent";
    case close_reason::rejected:
        return "rejected";
    case close_reason::overloaded:
        return "overloaded";
    case close_reason::idle:
        return "idle";
    case close_reason::shutdown:
        break;
    }
    return "shutdown";
}

std::string_view kind_name(std::size_t kind) noexcept
{
    return kind == heartbeat_kind ? "heartbeat" : peer_message_name(kind);
}

const char* direction_name(link_role own_role) noexcept
{
    return own_role == link_role::initiator ? "outgoing" : "incoming";
}

prometheus::Family<prometheus::Counter>& counter_family(prometheus::Registry& registry,
                                                        const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

peer_metrics::peer_metrics(prometheus::Registry& registry)
    : sent_(make_counters_by_kind(registry, "sent")),
      received_(make_counters_by_kind(registry, "received")),
      rejected_(&counter_family(registry, "papayafall_peer_rejected_total",
                                "Messages of peers, or to peers, that were dropped")),
      closed_(&counter_family(registry, "papayafall_peer_links_closed_total",
                              "Links to peers that were closed")),
      open_links_(&prometheus::BuildGauge()
                       .Name("papayafall_peer_links")
                       .Help("Links to peers that are open")
                       .Register(registry))
{
}

void peer_metrics::count_rejected(error_id id)
{
    rejected_->Add({{"error", std::string(to_string(id))}}).Increment();
}

void peer_metrics::count_closed(link_role own_role, close_reason reason)
{
    open_links_gauge(own_role).Decrement();
    closed_
        ->Add({{"direction", direction_name(own_role)}, {"reason", std::string(to_string(reason))}})
        .Increment();
}

peer_metrics::counters_by_kind peer_metrics::make_counters_by_kind(prometheus::Registry& registry,
                                                                   const char* direction)
{
    auto& messages =
        counter_family(registry, "papayafall_peer_messages_total", "Messages exchanged with peers");
    auto& bytes = counter_family(registry, "papayafall_peer_bytes_total",
                                 "Bytes of messages exchanged with peers");
    counters_by_kind result{};
    for (std::size_t n = 0; n < result.size(); ++n) {
        const prometheus::Labels labels = {{"direction", direction},
                                           {"kind", std::string(kind_name(n))}};
        result.at(n) = {&messages.Add(labels), &bytes.Add(labels)};
    }
    return result;
}

prometheus::Gauge& peer_metrics::open_links_gauge(link_role own_role)
{
    return open_links_->Add({{"direction", direction_name(own_role)}});
}

} // namespace papayafall::detail
