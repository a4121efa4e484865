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

/// HTTP front end for callers: a set of traffic threads that listen on the same port.
///
/// Posts `request_received`, `call_closed`, `cancel_received` and `tickets_requested` events, and
/// executes `answer_call`, `issue_tickets` and `publish_status` actions; ignores other actions.
/// `post` may be called from any thread, including before `start` and after `stop`. All other
/// members must be called from a single thread.
class front_end final : public action_sink {
  public:
    /// Opens the listening sockets; connections stay in the backlog until `start`.
    /// @param clock must outlive this object
    /// @param events must outlive this object
    /// @param registry metrics served at `/metrics`; must outlive this object
    /// @throws configuration_error if the listen address or the TLS files are unusable
    front_end(const front_end_options& options, const clock_source& clock, event_sink& events,
              prometheus::Registry& registry);

    /// Aborts the remaining connections and ends the threads.
    ~front_end() override;

    /// Starts the traffic threads.
    void start();

    /// Port that the front end listens on.
    std::uint16_t port() const noexcept { return port_; }

    void post(action requested) override;

    /// Reloads the TLS files; applies to connections accepted from now on.
    /// @throws configuration_error if the files are unusable; the previous ones remain in use
    void reload_tls();

    /// Stops accepting connections. Requests already received are still answered; each connection
    /// closes after its response.
    void stop_accepting();

    /// Stops accepting connections, waits until all have closed, and ends the threads.
    /// @param timeout time after which the remaining connections are aborted
    void stop(std::chrono::milliseconds timeout);

  private:
    const front_end_options options_;
    const clock_source& clock_;
    front_end_metrics metrics_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<front_end_thread>> threads_;
};

} // namespace papayafall
