#include "papayafall/daemon/control/control_thread.hpp"

#include <QMetaObject>

namespace papayafall {

namespace {

/// Time between two looks at the deadlines; they are met to this precision.
constexpr std::chrono::milliseconds tick_period{10};
/// Time between two checks of all invariants.
constexpr std::chrono::seconds invariant_period{10};
/// Number of entries above which the invariants are not checked in the daemon.
constexpr std::size_t invariant_entry_limit = 50'000;

} // namespace

control_thread::control_thread(std::unique_ptr<engine> core, const clock_source& clock,
                               fault_handler on_fault)
    : core_(std::move(core)), clock_(clock), on_fault_(std::move(on_fault)),
      mailbox_([this] { wake(); })
{
    thread_.setObjectName("control");
    context_.moveToThread(&thread_);
}

control_thread::~control_thread()
{
    stop();
}

void control_thread::start(action_sink& actions)
{
    actions_ = &actions;
    thread_.start();
    QMetaObject::invokeMethod(&context_, [this] {
        timer_ = std::make_unique<QTimer>();
        QObject::connect(timer_.get(), &QTimer::timeout, &context_, [this] { run_tick(); });
        timer_->start(tick_period);
        invariant_timer_ = std::make_unique<QTimer>();
        QObject::connect(invariant_timer_.get(), &QTimer::timeout, &context_,
                         [this] { check_invariants(); });
        invariant_timer_->start(invariant_period);
        run_batch();
    });
}

void control_thread::stop()
{
    if (!thread_.isRunning()) {
        return;
    }
    QMetaObject::invokeMethod(
        &context_,
        [this] {
            timer_.reset();
            invariant_timer_.reset();
        },
        Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
}

void control_thread::wake()
{
    QMetaObject::invokeMethod(
        &context_, [this] { run_batch(); }, Qt::QueuedConnection);
}

void control_thread::run_batch()
{
    const std::vector<event> batch = mailbox_.drain();
    if (batch.empty()) {
        return;
    }
    run([&] { core_->handle(batch, clock_.read()); });
}

void control_thread::run_tick()
{
    run([this] { core_->tick(clock_.read()); });
}

void control_thread::run(const std::function<void()>& step)
{
    if (failed_) {
        return;
    }
    try {
        step();
    } catch (const std::exception& ex) {
        failed_ = true;
        on_fault_(ex);
        return;
    }
    pass_on();
}

void control_thread::pass_on()
{
    for (action& it : core_->take_actions()) {
        actions_->post(std::move(it));
    }
}

void control_thread::check_invariants()
{
    const blackboard& board = core_->board();
    if (board.submissions.size() + board.queue.size() > invariant_entry_limit) {
        return;
    }
    run([&board] { board.check_invariants(); });
}

} // namespace papayafall
