#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"

#include <prometheus/registry.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace papayafall {

struct target_traffic_options {
    std::size_t threads = 1;
    outbound_options http;

    auto operator<=>(const target_traffic_options&) const = default;
};

namespace detail {
class target_metrics;
class target_thread;
} // namespace detail

/// Runs exchanges with targets on traffic threads of its own.
///
/// Carries out `start_exchange` and `abandon_exchange` and ignores every other action. Each started
/// exchange ends with exactly one `exchange_finished`, an abandoned one with `not_sent` or
/// `connection_lost`. The task goes to `POST /v1/run/<service>` of the target. Each exchange has a
/// connection at once, whatever the number in progress at that target.
class target_traffic : public action_sink {
  public:
    /// @param clock the clock of the actions' deadlines; must outlive this object
    /// @param events learns how exchanges end; must outlive this object
    /// @param metrics gets the counters of exchanges and connections; must outlive this object
    target_traffic(const target_traffic_options& options, const clock_source& clock,
                   event_sink& events, prometheus::Registry& metrics);

    /// Stops the threads; exchanges in progress end without an event.
    ~target_traffic() override;

    void post(action requested) override;

  private:
    std::unique_ptr<detail::target_metrics> metrics_;
    std::vector<std::unique_ptr<detail::target_thread>> threads_;
};

} // namespace papayafall
