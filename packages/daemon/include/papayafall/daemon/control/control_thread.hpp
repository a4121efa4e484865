#pragma once

#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/engine/sinks.hpp"

#include "papayafall/platform/clock/clock_source.hpp"

#include <QThread>
#include <QTimer>

#include <functional>
#include <memory>

namespace papayafall {

/// The one thread that owns the blackboard.
///
/// It drains its mailbox in batches, hands the events to the engine with the clocks read once for
/// the batch, and passes the engine's actions on. Between events it sleeps in its event loop; a
/// timer wakes it for the deadlines.
class control_thread : public event_sink {
  public:
    /// Called once, on the control thread, when the engine throws; the process must stop.
    using fault_handler = std::function<void(const std::exception&)>;

    /// @param clock read once for each batch; outlives this object
    control_thread(std::unique_ptr<engine> core, const clock_source& clock, fault_handler on_fault);
    ~control_thread() override;

    /// Starts the thread. Events posted before are handled first.
    /// @param actions takes the engine's actions, on the control thread, until `stop`
    void start(action_sink& actions);

    /// Ends the thread after the batch in progress; events that are posted later are dropped.
    void stop();

    void post(event incoming) override { mailbox_.post(std::move(incoming)); }

  private:
    void wake();
    void run_batch();
    void run_tick();
    /// Runs a step of the engine and passes its actions on. After a step that threw, the
    /// blackboard is not trusted any more and nothing further runs.
    void run(const std::function<void()>& step);
    void pass_on();
    void check_invariants();

    std::unique_ptr<engine> core_;
    action_sink* actions_ = nullptr;
    const clock_source& clock_;
    fault_handler on_fault_;
    bool failed_ = false;
    QThread thread_;
    QObject context_; ///< lives on `thread_`
    std::unique_ptr<QTimer> timer_;
    std::unique_ptr<QTimer> invariant_timer_;
    mailbox<event> mailbox_;
};

} // namespace papayafall
