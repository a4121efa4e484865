#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <prometheus/registry.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace papayafall {

/// Settings of the traffic with targets.
struct target_traffic_options {
    std::size_t threads = 1; ///< number of traffic threads
    outbound_options http;

    auto operator<=>(const target_traffic_options&) const = default;
};

namespace detail {
class target_metrics;
class target_thread;
} // namespace detail

/// Runs exchanges with targets on its own traffic threads.
///
/// Executes `start_exchange` and `abandon_exchange` and ignores other actions. Each started
/// exchange ends with exactly one `exchange_finished` event; the outcome of an abandoned one is
/// `not_sent` or `connection_lost`. The task is sent to the target as `POST /v1/run/<service>`. An
/// exchange never waits for a connection: the number of concurrent connections per target is not
/// limited.
class target_traffic : public action_sink {
  public:
    /// @param clock clock that the actions' deadlines refer to; must outlive this object
    /// @param events receives `exchange_finished` events; must outlive this object
    /// @param metrics registry for the exchange and connection metrics; must outlive this object
    target_traffic(const target_traffic_options& options, const clock_source& clock,
                   event_sink& events, prometheus::Registry& metrics);

    /// Stops the threads. Exchanges in progress end without an event.
    ~target_traffic() override;

    void post(action requested) override;

  private:
    std::unique_ptr<detail::target_metrics> metrics_;
    std::vector<std::unique_ptr<detail::target_thread>> threads_;
};

} // namespace papayafall
