#include "support/process_fleet.hpp"

#include <iostream>
#include <thread>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

constexpr auto measurement_duration = 24s;

struct answer_counts {
    int complete = 0;
    int not_run = 0;
    int unknown = 0;
    int no_answer = 0;
    std::chrono::milliseconds last_failure_offset{
        0}; ///< from the start of the measurement, right after the fault
};

enum class key_kind : std::uint8_t { none, ticket_of_asked_host, key_of_seat };

caller_request_text make_request(process_fleet& fleet, key_kind kind, std::uint16_t port)
{
    switch (kind) {
    case key_kind::ticket_of_asked_host:
        return make_task("booking", "m", 5, fetch_tickets(port, 1).front());
    case key_kind::key_of_seat:
        return make_task("booking", "m", 5, fleet.make_key_of_seat("a", 0));
    case key_kind::none:
        break;
    }
    return make_task("check", "m", 5);
}

/// Sends one request at a time, with pauses of 50 ms, for `measurement_duration` to the host on
/// `port`.
answer_counts send_and_count(process_fleet& fleet, key_kind kind, std::uint16_t port)
{
    answer_counts counts;
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < measurement_duration) {
        const caller_answer answer = call_host(port, make_request(fleet, kind, port));
        counts.complete += answer.status == 200 ? 1 : 0;
        counts.not_run += answer.run == "not_run" ? 1 : 0;
        counts.unknown += answer.run == "unknown" ? 1 : 0;
        counts.no_answer += answer.status == 0 ? 1 : 0;
        if (answer.status != 200) {
            counts.last_failure_offset = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
        }
        std::this_thread::sleep_for(50ms);
    }
    return counts;
}

void print(const std::string& name, const answer_counts& it)
{
    std::cout << name << ": " << it.complete << " complete, " << it.not_run << " not_run, "
              << it.unknown << " unknown, " << it.no_answer << " no answer, last failure after "
              << it.last_failure_offset.count() << " ms" << std::endl;
}

void measure_all_key_kinds(process_fleet& fleet, const std::string& host)
{
    const std::uint16_t port = fleet.host(host).port();
    answer_counts no_key;
    answer_counts tickets;
    {
        const std::jthread plain([&] { no_key = send_and_count(fleet, key_kind::none, port); });
        const std::jthread own(
            [&] { tickets = send_and_count(fleet, key_kind::ticket_of_asked_host, port); });
        print("seat keys", send_and_count(fleet, key_kind::key_of_seat, port));
    }
    print("tickets of the host asked", tickets);
    print("no key", no_key);
}

} // namespace

/// Measures the answers that callers get after the home of their keys was killed (`kill`) or in a
/// zone that is cut off from the platform (`cut`), with the default periods of a host.
int main(int argc, char** argv)
{
    const fleet_options options{
        .settings = {{"platform", {{"session_ttl_ms", 10000}, {"call_timeout_ms", 2000}}},
                     {"parameters", nullptr}}};
    process_fleet fleet(options);
    if (argc > 1 && std::string(argv[1]) == "cut") {
        fleet.platform().set_faults({.cut_zones = {"a"}});
        measure_all_key_kinds(fleet, "a1");
        return 0;
    }
    fleet.host("a1").kill();
    measure_all_key_kinds(fleet, "a2");
    return 0;
}
