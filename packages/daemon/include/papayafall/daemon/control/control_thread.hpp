#pragma once

#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/engine/mailbox.hpp"
#include "papayafall/core/engine/sinks.hpp"

#include "papayafall/platform/clock/clock_source.hpp"

#include <QMetaObject>
#include <QThread>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace papayafall {

/// The thread that owns the blackboard; no other thread accesses it.
///
/// Drains its mailbox in batches, passes the events to the engine with one clock reading per batch,
/// and forwards the resulting actions. Between events the thread sleeps in its event loop; a timer
/// wakes it to process deadlines.
///
/// @tparam Engine a `basic_engine` whose blackboard has `check_invariants` and `entry_count`
template <typename Engine>
class basic_control_thread : public message_sink<typename Engine::event_type> {
  public:
    using event_type = typename Engine::event_type;
    using action_type = typename Engine::action_type;
    /// Called once, on the control thread, if a step throws; the process must then stop.
    using exception_handler = std::function<void(const std::exception&)>;
    /// Called before each step; if it returns an event, that event is handled before the step.
    using pre_step_hook = std::function<std::optional<event_type>()>;

    /// @param clock read once per batch; must outlive this object
    /// @param on_exception called if a step throws
    /// @param pre_step called before each step; may be empty
    basic_control_thread(std::unique_ptr<Engine> core, const clock_source& clock,
                         exception_handler on_exception, pre_step_hook pre_step = {})
        : core_(std::move(core)), clock_(clock), on_exception_(std::move(on_exception)),
          pre_step_(std::move(pre_step)), mailbox_([this] { wake(); })
    {
        thread_.setObjectName("control");
        context_.moveToThread(&thread_);
    }

    basic_control_thread(const basic_control_thread&) = delete;
    basic_control_thread& operator=(const basic_control_thread&) = delete;

    ~basic_control_thread() override { stop(); }

    /// Starts the thread. Events that were posted before are handled first.
    /// @param actions receives the engine's actions, on the control thread; must stay valid until
    ///        `stop` returns
    void start(message_sink<action_type>& actions)
    {
        actions_ = &actions;
        thread_.start();
        QMetaObject::invokeMethod(&context_, [this] {
            tick_timer_ = std::make_unique<QTimer>();
            QObject::connect(tick_timer_.get(), &QTimer::timeout, &context_,
                             [this] { run_tick(); });
            tick_timer_->start(tick_period);
            invariant_timer_ = std::make_unique<QTimer>();
            QObject::connect(invariant_timer_.get(), &QTimer::timeout, &context_,
                             [this] { check_invariants(); });
            invariant_timer_->start(invariant_check_period);
            run_batch();
        });
    }

    /// Ends the thread after the batch in progress. Events posted later are not handled.
    void stop()
    {
        if (!thread_.isRunning()) {
            return;
        }
        QMetaObject::invokeMethod(
            &context_,
            [this] {
                tick_timer_.reset();
                invariant_timer_.reset();
            },
            Qt::BlockingQueuedConnection);
        thread_.quit();
        thread_.wait();
    }

    /// Queues an event. Thread-safe.
    void post(event_type incoming) override { mailbox_.post(std::move(incoming)); }

  private:
    /// Interval between engine ticks, which is the precision of deadlines.
    static constexpr std::chrono::milliseconds tick_period{10};
    /// Interval between invariant checks of the whole blackboard.
    static constexpr std::chrono::seconds invariant_check_period{10};
    /// Number of blackboard entries above which the invariant check is skipped.
    static constexpr std::size_t invariant_entry_limit = 50'000;

    /// Schedules a batch on the control thread; called by the mailbox from any thread.
    void wake()
    {
        QMetaObject::invokeMethod(
            &context_, [this] { run_batch(); }, Qt::QueuedConnection);
    }

    void run_batch()
    {
        const std::vector<event_type> batch = mailbox_.drain();
        if (batch.empty()) {
            return;
        }
        run_step([&] { core_->handle(batch, clock_.read()); });
    }

    void run_tick()
    {
        run_step([this] { core_->tick(clock_.read()); });
    }

    /// Runs one engine step and forwards the resulting actions. If a step throws, the blackboard
    /// may be inconsistent, so no further step runs.
    template <typename Step>
    void run_step(const Step& step)
    {
        if (failed_) {
            return;
        }
        try {
            if (pre_step_) {
                if (const auto first = pre_step_()) {
                    core_->handle(*first, clock_.read());
                }
            }
            step();
        } catch (const std::exception& ex) {
            failed_ = true;
            on_exception_(ex);
            return;
        }
        for (action_type& it : core_->take_actions()) {
            actions_->post(std::move(it));
        }
    }

    void check_invariants()
    {
        const auto& board = core_->board();
        if (board.entry_count() > invariant_entry_limit) {
            return;
        }
        run_step([&board] { board.check_invariants(); });
    }

    std::unique_ptr<Engine> core_;
    message_sink<action_type>* actions_ = nullptr;
    const clock_source& clock_;
    exception_handler on_exception_;
    pre_step_hook pre_step_;
    bool failed_ = false;
    QThread thread_;
    QObject context_; ///< receives the calls that are queued to `thread_`
    std::unique_ptr<QTimer> tick_timer_;
    std::unique_ptr<QTimer> invariant_timer_;
    mailbox<event_type> mailbox_;
};

/// Control thread of the engine that serves callers' requests.
using control_thread = basic_control_thread<engine>;

} // namespace papayafall
