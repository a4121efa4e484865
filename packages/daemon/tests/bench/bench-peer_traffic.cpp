// Benchmark of forwarded requests between two processes on the loopback interface:
//
//     bench-peer_traffic serve PORT COUNT                  answers COUNT requests
//     bench-peer_traffic forward PORT COUNT WINDOW BODY    forwards COUNT requests of BODY bytes,
//                                                          WINDOW of them at a time
//     bench-peer_traffic sizes                             encoded sizes of the heartbeats
//
// Both processes print their CPU time per request and answer.

#include "papayafall/daemon/peers/peer_traffic.hpp"
#include "papayafall/daemon/peers/qt_message_authenticator.hpp"
#include "papayafall/wire/peer/datagram.hpp"
#include "papayafall/wire/peer/frame.hpp"

#include <QCoreApplication>
#include <prometheus/registry.h>

#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <semaphore>
#include <string>
#include <vector>

using namespace papayafall;

namespace {

const bytes key("the key of the benchmark");
const peer_id home{host_name("home"), incarnation_id(1)};
const peer_id entry{host_name("entry"), incarnation_id(1)};

peer_options make_options(const peer_id& self, std::uint16_t port)
{
    return {.self = self,
            .zone = zone_name("north"),
            .link = {"127.0.0.1", port},
            .datagrams = {"127.0.0.1", 0},
            .shared_key = key};
}

std::chrono::microseconds cpu_time()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval& it) {
        return std::chrono::seconds(it.tv_sec) + std::chrono::microseconds(it.tv_usec);
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// Handles the events of a `peer_traffic` on its network thread.
class benchmark_sink : public event_sink {
  public:
    void connect(action_sink& traffic) { traffic_ = &traffic; }

    /// Blocks until `count` requests have been answered.
    void wait() { finished_.acquire(); }

  protected:
    explicit benchmark_sink(std::uint64_t count) : count_(count) {}

    action_sink& traffic() { return *traffic_; }

    std::uint64_t count() const { return count_; }

    void count_answered_request()
    {
        if (++answered_ == count_) {
            finished_.release();
        }
    }

  private:
    std::uint64_t count_;
    std::uint64_t answered_ = 0;
    std::atomic<action_sink*> traffic_ = nullptr;
    std::binary_semaphore finished_{0};
};

class serving_sink : public benchmark_sink {
  public:
    explicit serving_sink(std::uint64_t count) : benchmark_sink(count) {}

    void post(event incoming) override
    {
        if (const auto* it = std::get_if<forward_received>(&incoming)) {
            const task_answer same{200, it->content->tasks.front().body};
            traffic().post(answer_forward{it->origin, completion({{same}})});
            count_answered_request();
        }
    }
};

class forwarding_sink : public benchmark_sink {
  public:
    forwarding_sink(std::uint64_t count, std::size_t body, std::uint16_t port)
        : benchmark_sink(count), link_{"127.0.0.1", port},
          content_({.service = service_name("quote"),
                    .team = team_name("desk"),
                    .tasks = {{bytes(std::string(body, 'x'))}}})
    {
    }

    void post(event incoming) override
    {
        if (std::holds_alternative<forward_failed>(incoming)) {
            std::cerr << "bench-peer_traffic: a forwarded request failed\n";
            std::_Exit(EXIT_FAILURE);
        }
        if (std::holds_alternative<forward_answered>(incoming)) {
            count_answered_request();
            forward_next();
        }
    }

    void forward_next()
    {
        const std::uint64_t n = sent_++;
        if (n < count()) {
            traffic().post(forward_request{home, link_, correlation_id(n), content_});
        }
    }

  private:
    endpoint link_;
    request content_;
    std::atomic<std::uint64_t> sent_ = 0;
};

void serve(std::uint16_t port, std::uint64_t count)
{
    prometheus::Registry metrics;
    serving_sink events(count);
    peer_traffic traffic(make_options(home, port), events, metrics);
    events.connect(traffic);
    const auto before = cpu_time();
    events.wait();
    const auto used = static_cast<double>((cpu_time() - before).count());
    std::cout << "serve: " << used / static_cast<double>(count) << " us of CPU time per request\n";
}

void forward(std::uint16_t port, std::uint64_t count, std::size_t window, std::size_t body)
{
    prometheus::Registry metrics;
    forwarding_sink events(count, body, port);
    peer_traffic traffic(make_options(entry, 0), events, metrics);
    events.connect(traffic);

    const auto before = cpu_time();
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < window; ++n) {
        events.forward_next();
    }
    events.wait();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    const auto used = static_cast<double>((cpu_time() - before).count());
    std::cout << "forward: window " << window << ", body " << body << ": "
              << static_cast<double>(count) / took.count() << " requests/s, "
              << used / static_cast<double>(count) << " us of CPU time per request\n";
}

void print_sizes()
{
    const qt_message_authenticator authenticator(key);
    const heartbeat beat({.host = host_name("entry-01.north"),
                          .zone = zone_name("north"),
                          .link = {"10.0.100.100", 7001},
                          .datagrams = {"10.0.100.100", 7002},
                          .seats = {{zone_name("north"), 1}}});
    std::cout << "heartbeat datagram with one seat: " << encode_datagram(beat, authenticator).size()
              << " bytes\n"
              << "link heartbeat: "
              << encode_frame(link_heartbeat{}, {}, authenticator, time_point{}).size()
              << " bytes\n";
}

int run(const std::vector<std::string>& arguments)
{
    const auto number = [&](std::size_t n) { return std::stoull(arguments.at(n)); };
    const std::string mode = arguments.size() > 1 ? arguments[1] : "";
    if (mode == "serve" && arguments.size() == 4) {
        serve(static_cast<std::uint16_t>(number(2)), number(3));
        return EXIT_SUCCESS;
    }
    if (mode == "forward" && arguments.size() == 6) {
        forward(static_cast<std::uint16_t>(number(2)), number(3), number(4), number(5));
        return EXIT_SUCCESS;
    }
    if (mode == "sizes") {
        print_sizes();
        return EXIT_SUCCESS;
    }
    std::cerr << "usage: bench-peer_traffic serve|forward|sizes, see the head of its source\n";
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    return run(std::vector<std::string>(argv, argv + argc));
}
