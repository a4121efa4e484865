#include "support/process_fleet.hpp"

#include <iostream>
#include <thread>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

constexpr auto measurement_duration = 24s;

struct outcome_counts {
    int complete = 0;
    int not_run = 0;
    int unknown = 0;
    int no_answer = 0;
    std::chrono::milliseconds last_failure{0}; ///< time from the start of the measurement
};

enum class key_kind : std::uint8_t { none, own_ticket, seat_key };

caller_request_text make_request(process_fleet& fleet, key_kind kind, std::uint16_t port)
{
    switch (kind) {
    case key_kind::own_ticket:
        return make_task("booking", "m", 5, fetch_tickets(port, 1).front());
    case key_kind::seat_key:
        return make_task("booking", "m", 5, fleet.make_key_for_seat("a", 0));
    case key_kind::none:
        break;
    }
    return make_task("check", "m", 5);
}

/// Sends a request every 50 ms for `measurement_duration` to the host on `port`.
outcome_counts measure(process_fleet& fleet, key_kind kind, std::uint16_t port)
{
    outcome_counts counts;
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < measurement_duration) {
        const caller_answer got = call_host(port, make_request(fleet, kind, port));
        counts.complete += got.status == 200 ? 1 : 0;
        counts.not_run += got.run == "not_run" ? 1 : 0;
        counts.unknown += got.run == "unknown" ? 1 : 0;
        counts.no_answer += got.status == 0 ? 1 : 0;
        if (got.status != 200) {
            counts.last_failure = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
        }
        std::this_thread::sleep_for(50ms);
    }
    return counts;
}

void print(const std::string& name, const outcome_counts& it)
{
    std::cout << name << ": " << it.complete << " complete, " << it.not_run << " not_run, "
              << it.unknown << " unknown, " << it.no_answer << " no answer, last failure after "
              << it.last_failure.count() << " ms" << std::endl;
}

void measure_key_kinds(process_fleet& fleet, const std::string& host)
{
    const std::uint16_t port = fleet.host(host).port();
    outcome_counts none;
    outcome_counts tickets;
    {
        const std::jthread plain([&] { none = measure(fleet, key_kind::none, port); });
        const std::jthread own([&] { tickets = measure(fleet, key_kind::own_ticket, port); });
        print("seat keys", measure(fleet, key_kind::seat_key, port));
    }
    print("tickets of the host asked", tickets);
    print("no key", none);
}

} // namespace

/// Measures the outcomes of requests after the home of a zone is killed (`kill`), or in a zone
/// that is cut off from the platform (`cut`), with the default parameters of a host.
int main(int argc, char** argv)
{
    const fleet_options options{
        .settings = {{"platform", {{"session_ttl_ms", 10000}, {"call_timeout_ms", 2000}}},
                     {"parameters", nullptr}}};
    process_fleet fleet(options);
    if (argc > 1 && std::string(argv[1]) == "cut") {
        fleet.platform().set_faults({.cut_zones = {"a"}});
        measure_key_kinds(fleet, "a1");
        return 0;
    }
    fleet.host("a1").kill();
    measure_key_kinds(fleet, "a2");
    return 0;
}
