#include "target_thread.hpp"

#include "papayafall/daemon/targets/target_protocol.hpp"

namespace papayafall::detail {

exchange_runner::exchange_runner(const outbound_options& options, const clock_source& clock,
                                 event_sink& events, target_metrics& metrics)
    : clock_(&clock), events_(&events), metrics_(&metrics), client_(options, clock, *this)
{
}

void exchange_runner::handle(const action& requested)
{
    if (const auto* start_action = std::get_if<start_exchange>(&requested)) {
        start(*start_action);
    } else if (const auto* abandon_action = std::get_if<abandon_exchange>(&requested)) {
        client_.abandon(outbound_call_id(abandon_action->exchange.value()));
    }
}

void exchange_runner::start(const start_exchange& requested)
{
    metrics_->on_started();
    client_.send(outbound_call_id(requested.exchange.value()),
                 encode_exchange(requested, clock_->read().steady));
}

void exchange_runner::on_finished(outbound_call_id call, const outbound_outcome& outcome)
{
    exchange_outcome result = decode_exchange(outcome);
    const outbound_counters counters = client_.counters();
    metrics_->on_finished(result);
    metrics_->add_connection_counts(reported_counters_, counters);
    reported_counters_ = counters;
    events_->post(
        exchange_finished{.exchange = exchange_id(call.value()), .outcome = std::move(result)});
}

target_thread::target_thread(const outbound_options& options, const clock_source& clock,
                             event_sink& events, target_metrics& metrics)
    : actions_([this] {
          QMetaObject::invokeMethod(
              &context_, [this] { process_actions(); }, Qt::QueuedConnection);
      })
{
    thread_.setObjectName(QStringLiteral("targets"));
    context_.moveToThread(&thread_);
    thread_.start();
    QMetaObject::invokeMethod(
        &context_,
        [this, &options, &clock, &events, &metrics] {
            runner_ = std::make_unique<exchange_runner>(options, clock, events, metrics);
        },
        Qt::BlockingQueuedConnection);
}

target_thread::~target_thread()
{
    QMetaObject::invokeMethod(
        &context_, [this] { runner_.reset(); }, Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
}

void target_thread::process_actions()
{
    if (!runner_) {
        return;
    }
    for (const action& it : actions_.drain()) {
        runner_->handle(it);
    }
}

} // namespace papayafall::detail
