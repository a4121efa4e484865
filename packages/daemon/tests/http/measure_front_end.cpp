#include "papayafall/daemon/http/front_end.hpp"

#include "http/raw_client.hpp"

#include <CLI/CLI.hpp>
#include <prometheus/registry.h>

#include <QCoreApplication>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace papayafall;

/// Answers every request immediately, echoing the bodies of its tasks.
class echo_core final : public event_sink {
  public:
    void set_answer_sink(action_sink& sink) noexcept { sink_ = &sink; }

    void post(event incoming) override
    {
        const auto* it = std::get_if<request_received>(&incoming);
        if (it == nullptr) {
            return;
        }
        completion_fields result;
        for (const task& each : it->content->tasks) {
            result.answers.push_back({.status = 200, .body = each.body});
        }
        sink_->post(answer_call{it->call, completion(std::move(result))});
    }

  private:
    action_sink* sink_ = nullptr;
};

/// CPU time measured by `clock`, in seconds.
double cpu_seconds(clockid_t clock)
{
    timespec spent{};
    ::clock_gettime(clock, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

/// Results of a client thread.
struct client_result {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    double cpu_seconds = 0;
};

client_result run_client(std::uint16_t port, const std::string& message,
                         std::chrono::steady_clock::time_point end)
{
    client_result result;
    test::raw_client client(port);
    while (std::chrono::steady_clock::now() < end) {
        client.send(message);
        if (!client.read_response().starts_with("HTTP/1.1 200 ")) {
            ++result.failed;
            break;
        }
        ++result.answered;
    }
    result.cpu_seconds = cpu_seconds(CLOCK_THREAD_CPUTIME_ID);
    return result;
}

/// Parameters of the load test.
struct load_options {
    std::uint32_t threads = 1;
    std::size_t clients = 16;
    std::size_t body_size = 100;
    std::uint32_t seconds = 5;
};

void run(const load_options& options)
{
    const system_clock_source clock;
    echo_core core;
    prometheus::Registry registry;
    front_end front({.threads = options.threads}, clock, core, registry);
    core.set_answer_sink(front);
    front.start();

    const std::string body(options.body_size, 'x');
    const std::string message = "POST /v1/services/quote/requests HTTP/1.1\r\nHost: x\r\n"
                                "Papayafall-Team: desk\r\nPapayafall-Deadline-Ms: 1000\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    std::vector<client_result> results(options.clients);
    const double before = cpu_seconds(CLOCK_PROCESS_CPUTIME_ID);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    std::vector<std::thread> clients;
    clients.reserve(results.size());
    for (client_result& it : results) {
        clients.emplace_back([&] { it = run_client(front.port(), message, end); });
    }
    for (std::thread& it : clients) {
        it.join();
    }
    double server_cpu_seconds = cpu_seconds(CLOCK_PROCESS_CPUTIME_ID) - before;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    for (const client_result& it : results) {
        server_cpu_seconds -= it.cpu_seconds;
        answered += it.answered;
        failed += it.failed;
    }
    std::cout << answered / options.seconds << " requests/s, " << failed << " failed, "
              << server_cpu_seconds * 1e6 / static_cast<double>(answered)
              << " us of CPU time per request\n";
}

} // namespace

/// Measures the throughput and CPU time of the HTTP front end with a core that answers immediately.
int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    CLI::App app{"Load test of the HTTP front end over loopback, with one connection per client."};
    load_options options;
    app.add_option("--threads", options.threads, "number of front-end threads");
    app.add_option("--clients", options.clients, "number of clients, each on its own thread");
    app.add_option("--body-size", options.body_size, "size of the request body, in bytes");
    app.add_option("--seconds", options.seconds, "duration of the test, in seconds");
    CLI11_PARSE(app, argc, argv);
    run(options);
    return 0;
}
