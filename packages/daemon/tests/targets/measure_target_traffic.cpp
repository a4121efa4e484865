#include "papayafall/daemon/targets/target_traffic.hpp"
#include "support/stand_in_target.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sys/resource.h>

using namespace papayafall;

namespace {

/// Parameters of the load test.
struct load_plan {
    std::vector<std::uint16_t> ports;
    std::size_t slots = 8;
    std::size_t exchanges = 20000;
    std::string body;
    bool idempotent = true;
};

/// Keeps every slot of every target busy until the configured number of exchanges has ended.
class load_generator : public event_sink {
  public:
    load_generator(load_plan load, const clock_source& clock)
        : plan_(std::move(load)), clock_(&clock)
    {
    }

    void run(action_sink& traffic)
    {
        traffic_ = &traffic;
        const std::size_t concurrency = plan_.ports.size() * plan_.slots;
        for (std::size_t n = 0; n < concurrency; ++n) {
            start(n % plan_.ports.size());
        }
        std::unique_lock lock(mutex_);
        done_.wait(lock, [this] { return finished_ >= plan_.exchanges; });
    }

    void post(event incoming) override
    {
        const auto& it = std::get<exchange_finished>(incoming);
        {
            const std::lock_guard lock(mutex_);
            ++outcomes_[it.outcome.index()];
            ++finished_;
        }
        if (started_ >= plan_.exchanges) {
            done_.notify_all();
            return;
        }
        start(it.exchange.value() % plan_.ports.size());
    }

    const std::map<std::size_t, std::size_t>& outcomes() const { return outcomes_; }

  private:
    void start(std::size_t target)
    {
        const std::uint64_t exchange_number =
            ++started_ * plan_.ports.size() + target; // number % ports.size() is the target
        traffic_->post(
            start_exchange{.exchange = exchange_id(exchange_number),
                           .target = target_name(std::to_string(target)),
                           .address = {.address = "127.0.0.1", .port = plan_.ports.at(target)},
                           .work = work_item(work_item_fields{.service = service_name("quote"),
                                                              .idempotent = plan_.idempotent,
                                                              .body = bytes(plan_.body)}),
                           .deadline = clock_->read().steady + std::chrono::seconds(10)});
    }

    load_plan plan_;
    const clock_source* clock_;
    action_sink* traffic_ = nullptr;
    std::atomic<std::size_t> started_ = 0;
    std::mutex mutex_;
    std::condition_variable done_;
    std::size_t finished_ = 0;
    std::map<std::size_t, std::size_t> outcomes_;
};

double cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

long resident_kilobytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

} // namespace

/// Measures the rate, CPU time and memory of exchanges with targets in other processes.
int main(int argc, char** argv)
{
    load_plan load;
    std::uint16_t first_port = 0;
    std::size_t count = 25;
    std::int64_t run_ms = 0;
    std::int64_t idle_ms = 2000;
    target_traffic_options options;

    CLI::App app("Load test of the traffic with targets; start stand-in-target first");
    app.add_option("--first-port", first_port, "port of the first target")->required();
    app.add_option("--count", count, "number of targets");
    app.add_option("--slots", load.slots, "concurrent exchanges per target");
    app.add_option("--exchanges", load.exchanges, "total number of exchanges");
    app.add_option("--run-ms", run_ms, "run time of each task, in milliseconds");
    app.add_option("--threads", options.threads, "number of traffic threads");
    app.add_option("--idle-ms", idle_ms,
                   "idle timeout of a connection in milliseconds; 0: new connection per exchange");
    app.add_flag("!--non-idempotent", load.idempotent, "mark the tasks as not idempotent");
    CLI11_PARSE(app, argc, argv);
    options.http.max_idle_time = std::chrono::milliseconds(idle_ms);
    load.body = R"({"id":"m","run_ms":)" + std::to_string(run_ms) + "}";
    for (std::size_t n = 0; n < count; ++n) {
        load.ports.push_back(static_cast<std::uint16_t>(first_port + n));
    }

    const QCoreApplication application(argc, argv);
    const system_clock_source clock;
    prometheus::Registry metrics;
    const std::size_t exchanges = load.exchanges;
    load_generator generator(load, clock);
    target_traffic traffic(options, clock, generator, metrics);

    const long memory_before = resident_kilobytes();
    const double cpu_before = cpu_seconds();
    const auto started_at = std::chrono::steady_clock::now();
    generator.run(traffic);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at;
    const double cpu_spent = cpu_seconds() - cpu_before;

    std::cout << "exchanges/s " << static_cast<double>(exchanges) / elapsed.count()
              << "\nCPU us/exchange " << cpu_spent * 1e6 / static_cast<double>(exchanges)
              << "\nCPU cores " << cpu_spent / elapsed.count() << "\nmemory kB " << memory_before
              << " -> " << resident_kilobytes() << '\n';
    for (const auto& [outcome, times] : generator.outcomes()) {
        std::cout << "outcome " << outcome << ": " << times << '\n';
    }
    return 0;
}
