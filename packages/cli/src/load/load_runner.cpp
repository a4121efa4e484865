#include "papayafall/cli/load/load_runner.hpp"

#include "load_worker.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <QEventLoop>
#include <QThread>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace papayafall {

namespace {

using detail::load_worker;
using detail::planned_step;

constexpr std::uint64_t round_trip_probes = 20;
constexpr std::chrono::seconds probe_limit{2};

/// Time between the making of the workers and the first request.
constexpr std::chrono::milliseconds start_delay{50};

std::vector<planned_step> make_steps(const planned_request& request)
{
    std::vector<planned_step> steps;
    steps.push_back({.at = request->first.at, .request = request});
    if (request->again) {
        steps.push_back(
            {.at = request->again->at, .sending = load_sending::again, .request = request});
    }
    if (request->cancel) {
        steps.push_back(
            {.at = request->cancel->at, .sending = load_sending::cancel, .request = request});
    }
    return steps;
}

/// Divides the sendings among the threads, each share in the order of time.
std::vector<std::vector<planned_step>> make_shares(const std::vector<planned_request>& requests,
                                                   std::size_t threads)
{
    std::vector<std::vector<planned_step>> shares(threads);
    for (const planned_request& it : requests) {
        auto& share = shares.at(it->number % threads);
        std::ranges::move(make_steps(it), std::back_inserter(share));
    }
    for (auto& it : shares) {
        std::ranges::stable_sort(it, {}, &planned_step::at);
    }
    return shares;
}

/// A thread with an event loop that runs one share.
class load_thread {
  public:
    load_thread(const load_plan& plan, std::vector<planned_step> steps, const clock_reading& begin,
                const clock_source& clock)
    {
        context_.moveToThread(&thread_);
        thread_.start();
        if (steps.empty()) {
            thread_.quit();
            return;
        }
        on_thread([&] {
            worker_ = std::make_unique<load_worker>(plan, std::move(steps), begin, clock,
                                                    [this] { finish_soon(); });
        });
    }

    load_thread(const load_thread&) = delete;
    load_thread& operator=(const load_thread&) = delete;

    ~load_thread() { thread_.wait(); }

    /// Waits until the share has ended and appends its samples.
    void collect(std::vector<load_sample>& samples)
    {
        thread_.wait();
        std::ranges::move(samples_, std::back_inserter(samples));
    }

  private:
    /// Called by the worker, which cannot be deleted from within its own call.
    void finish_soon()
    {
        QMetaObject::invokeMethod(
            &context_, [this] { finish(); }, Qt::QueuedConnection);
    }

    void finish()
    {
        samples_ = worker_->samples();
        worker_.reset();
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
    std::unique_ptr<load_worker> worker_;
    std::vector<load_sample> samples_;
};

/// Sends probes in turn and keeps the shortest time.
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
        if (shortest_ == duration::max()) {
            throw platform_error(error_id::platform_unavailable,
                                 "the entry host " + host_.address + ":" +
                                     std::to_string(host_.port) + " does not answer");
        }
        return shortest_;
    }

    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override
    {
        if (std::holds_alternative<outbound_response>(outcome)) {
            shortest_ = std::min(shortest_, clock_->read().steady - sent_at_);
        }
        if (call.value() == round_trip_probes) {
            loop_.quit();
            return;
        }
        send();
    }

  private:
    void send()
    {
        last_ = last_.next();
        sent_at_ = clock_->read().steady;
        client_.send(last_, outbound_request_fields{.server = host_,
                                                    .method = outbound_method::get,
                                                    .path = "/healthz",
                                                    .deadline = sent_at_ + probe_limit});
    }

    endpoint host_;
    const clock_source* clock_;
    outbound_client client_;
    QEventLoop loop_;
    outbound_call_id last_;
    time_point sent_at_;
    duration shortest_ = duration::max();
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
    const clock_reading begin{.steady = now.steady + start_delay, .wall = now.wall + start_delay};
    std::vector<std::unique_ptr<load_thread>> threads;
    for (auto& it : make_shares(requests, plan.threads)) {
        threads.push_back(std::make_unique<load_thread>(plan, std::move(it), begin, clock));
    }
    std::vector<load_sample> samples;
    for (const auto& it : threads) {
        it->collect(samples);
    }
    return samples;
}

} // namespace papayafall
