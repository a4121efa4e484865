#pragma once

#include "papayafall/daemon/peers/peer_traffic.hpp"
#include "support/event_recorder.hpp"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <string>

namespace papayafall {

inline const bytes test_key{"a key of the tests, long enough"};

/// Settings of a peer on the loopback interface, with short timeouts.
inline peer_options make_peer_options(const std::string& host, std::uint64_t incarnation = 1)
{
    peer_options options{.self = {host_name(host), incarnation_id(incarnation)},
                         .zone = zone_name("north"),
                         .link = {"127.0.0.1", 0},
                         .datagrams = {"127.0.0.1", 0},
                         .shared_key = test_key};
    options.limits.heartbeat_interval = std::chrono::milliseconds(50);
    options.limits.receive_timeout = std::chrono::milliseconds(1000);
    options.limits.connect_timeout = std::chrono::milliseconds(1000);
    return options;
}

/// The peer traffic of one simulated process, with its recorded events and its metrics.
class peer_process {
  public:
    explicit peer_process(const peer_options& options)
        : id(options.self), traffic(options, events, metrics)
    {
    }

    endpoint link() const { return traffic.link(); }

    /// The value of a metric in the text exposition format; "" when there is none.
    /// @param name_and_labels as in the text format
    std::string metric(const std::string& name_and_labels) const
    {
        const std::string text = prometheus::TextSerializer().Serialize(metrics.Collect());
        const std::size_t start = text.find("\n" + name_and_labels + " ");
        if (start == std::string::npos) {
            return "";
        }
        const std::size_t value = start + name_and_labels.size() + 2;
        return text.substr(value, text.find('\n', value) - value);
    }

    peer_id id;
    event_recorder events;
    prometheus::Registry metrics;
    peer_traffic traffic;
};

} // namespace papayafall
