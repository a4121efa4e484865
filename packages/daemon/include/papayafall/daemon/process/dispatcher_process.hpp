#pragma once

#include "papayafall/daemon/control/action_router.hpp"
#include "papayafall/daemon/control/control_thread.hpp"
#include "papayafall/daemon/http/front_end.hpp"
#include "papayafall/daemon/peers/peer_traffic.hpp"
#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/daemon/targets/target_traffic.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/connector/platform_connector.hpp"
#include "papayafall/wire/settings/settings.hpp"

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace papayafall {

/// Why a dispatcher process has to exit.
enum class exit_reason { stopped, fault };

/// All threads of a `papayafalld` process: the control thread, which owns the blackboard, and the
/// network threads for callers, targets, peers and the platform.
class dispatcher_process {
  public:
    /// Opens all sockets; no request is served before `start`.
    /// @param wanted           settings of the host
    /// @param on_exit_required called from any thread when the process has to exit: once after a
    ///                         graceful shutdown, or when the control thread fails
    /// @throws configuration_error when an address or a file named in the settings cannot be used
    dispatcher_process(const settings& wanted, std::function<void(exit_reason)> on_exit_required);
    ~dispatcher_process();

    /// Starts the control thread and the platform agent, then serves callers.
    void start();

    /// Starts a graceful shutdown. `on_exit_required` is called when all work has ended.
    void request_shutdown();

    /// Reloads the TLS certificate and key.
    /// @throws configuration_error when they cannot be used; the previous ones remain in force
    void reload();

    /// Writes the remaining answers, within a time limit, and stops the threads.
    void stop();

  private:
    dispatcher_process(const settings& wanted, std::function<void(exit_reason)> on_exit_required,
                       const self_state& self);

    void handle_control_failure(const std::exception& ex);

    const settings settings_;
    std::function<void(exit_reason)> on_exit_required_;
    system_clock_source clock_;
    prometheus::Registry registry_;
    std::unique_ptr<platform_connector> connector_;
    control_thread control_;
    front_end callers_;
    target_traffic targets_;
    peer_traffic peers_;
    platform_agent platform_;
    action_router router_;
};

} // namespace papayafall
