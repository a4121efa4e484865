#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/http/front_end_metrics.hpp"
#include "papayafall/daemon/http/front_end_options.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace papayafall {

class front_end_thread;

/// The callers' HTTP front end: traffic threads that share one port.
///
/// It posts `request_received`, `call_closed`, `cancel_received` and `tickets_requested`, and
/// carries out `answer_call`, `issue_tickets` and `publish_status`. `post` may be called from any
/// thread, also before `start` and after `stop`; everything else from one thread.
class front_end final : public action_sink {
  public:
    /// Opens the listening sockets; connections wait until `start`.
    /// @param clock must outlive this object
    /// @param events must outlive this object
    /// @param registry shown at `/metrics`; must outlive this object
    /// @throws configuration_error when the address or the TLS files cannot be used
    front_end(const front_end_options& options, const clock_source& clock, event_sink& events,
              prometheus::Registry& registry);

    /// Cuts what `stop` has left.
    ~front_end() override;

    /// Starts the traffic threads.
    void start();

    /// Port on which callers are served.
    std::uint16_t port() const noexcept { return port_; }

    void post(action requested) override;

    /// Reads the TLS files again, for the connections that follow.
    /// @throws configuration_error when they cannot be used; the old ones stay in force
    void reload_tls();

    /// Accepts no more connections. Requests that were read are still answered, each as the last
    /// one of its connection.
    void stop_accepting();

    /// Stops accepting, waits until every connection has ended, and ends the threads.
    /// @param timeout time after which the connections that are left are cut
    void stop(std::chrono::milliseconds timeout);

  private:
    const front_end_options options_;
    const clock_source& clock_;
    front_end_metrics metrics_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<front_end_thread>> threads_;
};

} // namespace papayafall
