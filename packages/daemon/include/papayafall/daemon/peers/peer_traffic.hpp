#pragma once

#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/peers/peer_options.hpp"

#include <QObject>
#include <QThread>

#include <memory>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace papayafall {

namespace detail {
class peer_manager;
} // namespace detail

/// Network thread for the traffic between dispatcher processes.
///
/// Executes `forward_request`, `forward_cancel`, `answer_forward`, `delegate_work`,
/// `abandon_exchange` of a delegation, `answer_delegation`, `send_heartbeat`,
/// `fetch_configuration` and `configuration_applied`; ignores every other action. Posts
/// `forward_received`, `cancel_received`, `forward_answered`, `forward_failed`,
/// `delegation_received`, `delegation_cancelled`, `exchange_finished`, `heartbeat_received` and
/// `configuration_received`.
///
/// Each message that expects an answer results in exactly one event, unless it is abandoned: the
/// answer, or a failure that states whether the message may have been delivered. All other
/// decisions are left to the core.
class peer_traffic : public action_sink {
  public:
    /// Opens the listening sockets and starts the thread, which runs until destruction.
    /// @param events  receives the events, called on the network thread; must outlive this object
    /// @param metrics registry for the metrics of the traffic; must outlive this object
    /// @throws configuration_error `invalid_settings` when the process cannot listen on an address
    ///         or the shared key is too short
    peer_traffic(const peer_options& options, event_sink& events, prometheus::Registry& metrics);

    /// Writes the answers that were already posted, within a time limit, and closes all links.
    ~peer_traffic() override;

    void post(action requested) override;

    /// The TCP address on which links are accepted, with the actual port.
    const endpoint& link() const noexcept { return link_; }

    /// The UDP address that receives heartbeats, with the actual port.
    const endpoint& datagrams() const noexcept { return datagrams_; }

  private:
    /// Executes the posted actions; called on the network thread.
    void process_actions();

    QThread thread_;
    QObject context_; ///< lives in `thread_`
    mailbox<action> actions_;
    std::unique_ptr<detail::peer_manager> manager_; ///< lives in `thread_`
    endpoint link_;
    endpoint datagrams_;
};

} // namespace papayafall
