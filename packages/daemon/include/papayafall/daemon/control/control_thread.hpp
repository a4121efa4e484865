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

/// The one thread that owns the blackboard.
///
/// It drains its mailbox in batches, hands the events to the engine with the clocks read once for
/// the batch, and passes the engine's actions on. Between events it sleeps in its event loop; a
/// timer wakes it for the deadlines.
///
/// @tparam Engine a `basic_engine` whose board has `check_invariants` and `entry_count`
template <typename Engine>
class basic_control_thread : public message_sink<typename Engine::event_type> {
  public:
    using event_type = typename Engine::event_type;
    using action_type = typename Engine::action_type;
    /// Called once, on the control thread, when the engine throws; the process must stop.
    using exception_handler = std::function<void(const std::exception&)>;
    /// Called before each step; an event that it returns is handled first.
    using pre_step_hook = std::function<std::optional<event_type>()>;

    /// @param clock read once for each batch; outlives this object
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

    /// Starts the thread. Events posted before are handled first.
    /// @param actions takes the engine's actions, on the control thread, until `stop`
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

    /// Ends the thread after the batch in progress; events that are posted later are dropped.
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

    void post(event_type incoming) override { mailbox_.post(std::move(incoming)); }

  private:
    /// Time between two looks at the deadlines; they are met to this precision.
    static constexpr std::chrono::milliseconds tick_period{10};
    /// Time between two checks of all invariants.
    static constexpr std::chrono::seconds invariant_check_period{10};
    /// Number of entries above which the invariants are not checked in the daemon.
    static constexpr std::size_t invariant_entry_limit = 50'000;

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

    /// Runs a step of the engine and passes its actions on. After a step that threw, the
    /// blackboard is not trusted any more and nothing further runs.
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
    QObject context_; ///< lives on `thread_`
    std::unique_ptr<QTimer> tick_timer_;
    std::unique_ptr<QTimer> invariant_timer_;
    mailbox<event_type> mailbox_;
};

/// Control thread of the callers' own interface.
using control_thread = basic_control_thread<engine>;

} // namespace papayafall
