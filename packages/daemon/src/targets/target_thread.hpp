#pragma once

#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/platform/outbound/outbound_client.hpp"
#include "target_metrics.hpp"

#include <QObject>
#include <QThread>

namespace papayafall::detail {

/// Sends HTTP requests for actions and posts events for their results. Created, used and destroyed
/// on the traffic thread.
class exchange_runner : public QObject, public outbound_observer {
  public:
    exchange_runner(const outbound_options& options, const clock_source& clock, event_sink& events,
                    target_metrics& metrics);

    void handle(const action& requested);

    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override;

  private:
    void start(const start_exchange& requested);

    const clock_source* clock_;
    event_sink* events_;
    target_metrics* metrics_;
    outbound_client client_;
    outbound_counters reported_counters_;
};

/// A traffic thread with its event loop and mailbox.
class target_thread {
  public:
    target_thread(const outbound_options& options, const clock_source& clock, event_sink& events,
                  target_metrics& metrics);
    target_thread(const target_thread&) = delete;
    target_thread& operator=(const target_thread&) = delete;
    ~target_thread();

    /// Passes an action to the thread. Thread-safe.
    void post(action requested) { actions_.post(std::move(requested)); }

  private:
    /// Executes the posted actions; called on the thread.
    void process_actions();

    QThread thread_;
    QObject context_; ///< receives the calls that are queued to `thread_`
    std::unique_ptr<exchange_runner> runner_;
    mailbox<action> actions_;
};

} // namespace papayafall::detail
