#include "papayafall/cli/load/load_runner.hpp"

#include "load_sender.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <QEventLoop>
#include <QThread>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace papayafall {

namespace {

using detail::load_sender;
using detail::scheduled_send;

constexpr std::uint64_t round_trip_probe_count = 20;
constexpr std::chrono::seconds probe_timeout{2};

/// Time between the creation of the senders and the start of the run.
constexpr std::chrono::milliseconds start_delay{50};

std::vector<scheduled_send> make_sends(const planned_request& request)
{
    std::vector<scheduled_send> sends;
    sends.push_back({.offset = request->first_send.offset, .request = request});
    if (request->resubmission) {
        sends.push_back({.offset = request->resubmission->offset,
                         .kind = load_send_kind::resubmission,
                         .request = request});
    }
    if (request->cancellation) {
        sends.push_back({.offset = request->cancellation->offset,
                         .kind = load_send_kind::cancellation,
                         .request = request});
    }
    return sends;
}

/// Distributes the sends over the threads; the sends of each are ordered by their offset.
std::vector<std::vector<scheduled_send>>
partition_sends(const std::vector<planned_request>& requests, std::size_t threads)
{
    std::vector<std::vector<scheduled_send>> partitions(threads);
    for (const planned_request& it : requests) {
        auto& partition = partitions.at(it->number % threads);
        std::ranges::move(make_sends(it), std::back_inserter(partition));
    }
    for (auto& it : partitions) {
        std::ranges::stable_sort(it, {}, &scheduled_send::offset);
    }
    return partitions;
}

/// Thread with an event loop that performs one partition of the sends.
class load_thread {
  public:
    load_thread(const load_plan& plan, std::vector<scheduled_send> sends,
                const clock_reading& run_start, const clock_source& clock)
    {
        context_.moveToThread(&thread_);
        thread_.start();
        if (sends.empty()) {
            thread_.quit();
            return;
        }
        on_thread([&] {
            sender_ = std::make_unique<load_sender>(plan, std::move(sends), run_start, clock,
                                                    [this] { queue_finish(); });
        });
    }

    load_thread(const load_thread&) = delete;
    load_thread& operator=(const load_thread&) = delete;

    ~load_thread() { thread_.wait(); }

    /// Waits until all sends of the thread have ended and appends their samples.
    void collect(std::vector<load_sample>& samples)
    {
        thread_.wait();
        std::ranges::move(samples_, std::back_inserter(samples));
    }

  private:
    /// Queues `finish()`, because the sender cannot be deleted from within its own callback.
    void queue_finish()
    {
        QMetaObject::invokeMethod(
            &context_, [this] { finish(); }, Qt::QueuedConnection);
    }

    void finish()
    {
        samples_ = sender_->samples();
        sender_.reset();
        thread_.quit();
    }

    template <typename Call>
    void on_thread(Call&& call)
    {
        QMetaObject::invokeMethod(&context_, std::forward<Call>(call),
                                  Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject context_;
    std::unique_ptr<load_sender> sender_;
    std::vector<load_sample> samples_;
};

/// Sends probes one after another and keeps the shortest round-trip time.
class round_trip_probe : public outbound_observer {
  public:
    round_trip_probe(endpoint host, const clock_source& clock)
        : host_(std::move(host)), clock_(&clock), client_({}, clock, *this)
    {
    }

    duration run()
    {
        send();
        loop_.exec();
        if (shortest_round_trip_ == duration::max()) {
            throw platform_error(error_id::platform_unavailable,
                                 "the entry host " + host_.address + ":" +
                                     std::to_string(host_.port) + " answered no health probe");
        }
        return shortest_round_trip_;
    }

    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override
    {
        if (std::holds_alternative<outbound_response>(outcome)) {
            shortest_round_trip_ = std::min(shortest_round_trip_, clock_->read().steady - sent_at_);
        }
        if (call.value() == round_trip_probe_count) {
            loop_.quit();
            return;
        }
        send();
    }

  private:
    void send()
    {
        last_call_ = last_call_.next();
        sent_at_ = clock_->read().steady;
        client_.send(last_call_, outbound_request_fields{.server = host_,
                                                         .method = outbound_method::get,
                                                         .path = "/healthz",
                                                         .deadline = sent_at_ + probe_timeout});
    }

    endpoint host_;
    const clock_source* clock_;
    outbound_client client_;
    QEventLoop loop_;
    outbound_call_id last_call_;
    time_point sent_at_;
    duration shortest_round_trip_ = duration::max();
};

} // namespace

duration measure_round_trip(const load_plan& plan, const clock_source& clock)
{
    return round_trip_probe(plan.hosts.front(), clock).run();
}

std::vector<load_sample> run_load(const load_plan& plan,
                                  const std::vector<planned_request>& requests,
                                  const clock_source& clock)
{
    const clock_reading now = clock.read();
    const clock_reading run_start{.steady = now.steady + start_delay,
                                  .wall = now.wall + start_delay};
    std::vector<std::unique_ptr<load_thread>> threads;
    for (auto& it : partition_sends(requests, plan.thread_count)) {
        threads.push_back(std::make_unique<load_thread>(plan, std::move(it), run_start, clock));
    }
    std::vector<load_sample> samples;
    for (const auto& it : threads) {
        it->collect(samples);
    }
    return samples;
}

} // namespace papayafall
