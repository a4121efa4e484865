#pragma once

#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/platform/connector/platform_connector.hpp"

#include <QObject>
#include <QThread>

#include <memory>

namespace papayafall {

/// Settings of a `platform_agent`.
struct platform_agent_options {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    /// Time after which the platform ends a session that is not renewed.
    std::chrono::milliseconds session_ttl{10'000};
    /// Time between two reads of the host list.
    std::chrono::milliseconds host_list_period{2'000};
    /// Maximum wait of one watch call.
    std::chrono::milliseconds watch_wait{3'000};
    /// Initial and maximum delay before a failed call is retried.
    std::chrono::milliseconds first_retry_delay{100};
    std::chrono::milliseconds max_retry_delay{5'000};

    auto operator<=>(const platform_agent_options&) const = default;
};

/// Thread for the traffic with the platform. It executes the actions `claim_seat`, `release_seat`
/// and `watch_configuration`, maintains one session for all seats of the host, and posts the
/// results as events. Other actions are ignored.
class platform_agent : public action_sink {
  public:
    /// @param connector,events,clock must outlive this object
    platform_agent(platform_agent_options options, const platform_connector& connector,
                   event_sink& events, const clock_source& clock);
    ~platform_agent() override;

    /// Connects to the platform and opens the session.
    void start();

    /// Ends the session, so that another host can claim the seats at once, and stops the thread.
    /// Waits at most one second for the platform.
    void stop();

    void post(action requested) override;

  private:
    class agent_components;

    void wake();

    platform_agent_options options_;
    const platform_connector& connector_;
    event_sink& events_;
    const clock_source& clock_;
    QThread thread_;
    std::unique_ptr<QObject> context_;
    std::unique_ptr<agent_components> components_; ///< lives on `thread_`
    mailbox<action> mailbox_;
};

} // namespace papayafall
