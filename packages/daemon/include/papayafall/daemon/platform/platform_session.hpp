#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

#include <functional>

namespace papayafall {

/// Maintains one session at the platform and renews it every third of its time to live.
///
/// Each successful call posts `session_confirmed`. The lease starts at the time at which the call
/// was sent and is shortened by a margin for the difference between the monotonic clocks of
/// the host and the platform.
class platform_session {
  public:
    /// @param on_ended called if the platform reports that the session has ended
    platform_session(const platform_agent_options& options, key_value_store& store,
                     const clock_source& clock, event_sink& events, std::function<void()> on_ended);

    /// Opens a session; retries until it succeeds.
    void open();

    /// Ends the session; no other is opened.
    /// @param done called when the call has succeeded or failed, or at once if there is no session
    void close(std::function<void()> done);

    /// The open session; empty if there is none.
    const session_id& session() const noexcept { return session_; }

  private:
    void renew();
    void on_opened(const platform_result<session_id>& result, time_point sent_at);
    void on_renewed(const platform_result<session_status>& result, time_point sent_at);
    void report_confirmed(time_point sent_at);
    void schedule_retry();
    void on_session_ended();
    void on_timer();

    const platform_agent_options& options_;
    key_value_store& store_;
    const clock_source& clock_;
    event_sink& events_;
    std::function<void()> on_ended_;
    session_id session_;
    bool lost_event_posted_ = false;
    bool closed_ = false;
    retry_delay retry_delay_;
    QTimer timer_;
};

} // namespace papayafall
