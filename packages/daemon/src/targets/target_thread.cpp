#include "target_thread.hpp"

#include "papayafall/daemon/targets/target_protocol.hpp"

namespace papayafall::detail {

target_worker::target_worker(const outbound_options& options, const clock_source& clock,
                             event_sink& events, target_metrics& metrics)
    : clock_(&clock), events_(&events), metrics_(&metrics), client_(options, clock, *this)
{
}

void target_worker::handle(const action& requested)
{
    if (const auto* start_it = std::get_if<start_exchange>(&requested)) {
        start(*start_it);
    } else if (const auto* abandon_it = std::get_if<abandon_exchange>(&requested)) {
        client_.abandon(outbound_call_id(abandon_it->exchange.value()));
    }
}

void target_worker::start(const start_exchange& requested)
{
    metrics_->on_started();
    client_.send(outbound_call_id(requested.exchange.value()),
                 encode_exchange(requested, clock_->read().steady));
}

void target_worker::on_finished(outbound_call_id call, const outbound_outcome& outcome)
{
    exchange_outcome result = decode_exchange(outcome);
    const outbound_counters counters = client_.counters();
    metrics_->on_finished(result);
    metrics_->add_connections(reported_, counters);
    reported_ = counters;
    events_->post(
        exchange_finished{.exchange = exchange_id(call.value()), .outcome = std::move(result)});
}

target_thread::target_thread(const outbound_options& options, const clock_source& clock,
                             event_sink& events, target_metrics& metrics)
    : actions_([this] {
          QMetaObject::invokeMethod(
              &context_, [this] { drain(); }, Qt::QueuedConnection);
      })
{
    thread_.setObjectName(QStringLiteral("targets"));
    context_.moveToThread(&thread_);
    thread_.start();
    QMetaObject::invokeMethod(
        &context_,
        [this, &options, &clock, &events, &metrics] {
            worker_ = std::make_unique<target_worker>(options, clock, events, metrics);
        },
        Qt::BlockingQueuedConnection);
}

target_thread::~target_thread()
{
    QMetaObject::invokeMethod(
        &context_, [this] { worker_.reset(); }, Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
}

void target_thread::drain()
{
    if (!worker_) {
        return;
    }
    for (const action& it : actions_.drain()) {
        worker_->handle(it);
    }
}

} // namespace papayafall::detail
