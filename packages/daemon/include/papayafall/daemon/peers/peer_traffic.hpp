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

/// The traffic thread for the system's own processes.
///
/// Carries out `forward_request`, `forward_cancel`, `answer_forward`, `delegate_work`,
/// `abandon_exchange` of a delegation, `answer_delegation`, `send_heartbeat`,
/// `fetch_configuration` and `configuration_applied`; ignores every other action. Posts
/// `forward_received`, `cancel_received`, `forward_answered`, `forward_failed`,
/// `delegation_received`, `delegation_cancelled`, `exchange_finished`, `heartbeat_received` and
/// `configuration_received`.
///
/// Each message that asks for an answer ends in exactly one event, unless it is abandoned: its
/// answer, or a failure that says whether it may have arrived. It decides nothing else.
class peer_traffic : public action_sink {
  public:
    /// Starts to listen; the thread runs until destruction.
    /// @param events  outlives this object; gets its events from the thread of this object
    /// @param metrics outlives this object
    /// @throws configuration_error `invalid_settings` when an address cannot be listened on or the
    ///         shared key is too short
    peer_traffic(const peer_options& options, event_sink& events, prometheus::Registry& metrics);

    /// Writes the answers that were posted, for a bounded time, and closes every link.
    ~peer_traffic() override;

    void post(action requested) override;

    /// Where peers are accepted, with the port that was given.
    const endpoint& link() const noexcept { return link_; }

    /// Where heartbeats are accepted, with the port that was given.
    const endpoint& datagrams() const noexcept { return datagrams_; }

  private:
    void handle_posted();

    QThread thread_;
    QObject context_; ///< lives in `thread_`
    mailbox<action> actions_;
    std::unique_ptr<detail::peer_manager> manager_; ///< lives in `thread_`
    endpoint link_;
    endpoint datagrams_;
};

} // namespace papayafall
