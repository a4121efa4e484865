#include "support/process_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

/// Time after which a target listed as leaving must not get new work.
constexpr auto max_leaving_delay = 5s;

/// Number of answers by outcome.
struct answer_counts {
    int complete = 0;
    int not_run = 0;
    int unknown_or_no_answer = 0; ///< unknown outcomes, and requests that got no answer
};

/// Graceful shutdown, rolling restarts, and targets that leave.
class process_lifecycle_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_lifecycle_test);
    CPPUNIT_TEST(graceful_shutdown_completes_running_requests);
    CPPUNIT_TEST(rolling_restart_loses_no_answer);
    CPPUNIT_TEST(target_listed_as_leaving_gets_no_new_work);
    CPPUNIT_TEST(target_that_announces_leaving_gets_no_new_work);
    CPPUNIT_TEST_SUITE_END();

  public:
    void graceful_shutdown_completes_running_requests()
    {
        process_fleet fleet;
        std::vector<std::future<caller_answer>> running;
        running.reserve(6);
        for (int n = 0; n < 6; ++n) {
            running.push_back(std::async(std::launch::async, [&fleet, n] {
                return fleet.host("a1").call(long_task(fleet, n));
            }));
        }
        CPPUNIT_ASSERT(wait_until([&] { return fleet.starts("long") == 6; }));
        fleet.host("a1").send_signal(SIGTERM);
        const answer_counts late = call_until_connection_refused(fleet.host("a1"));
        CPPUNIT_ASSERT_EQUAL(0, late.unknown_or_no_answer);
        for (std::future<caller_answer>& it : running) {
            const caller_answer got = it.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(0, fleet.host("a1").wait_for_end());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, fleet.starts("long"));
    }

    void rolling_restart_loses_no_answer()
    {
        process_fleet fleet;
        answer_counts total;
        std::jthread load([&](const std::stop_token& stop) { total = call_steadily(fleet, stop); });
        for (const std::string name : {"a1", "a2", "b1"}) {
            fleet.host(name).send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, fleet.host(name).wait_for_end());
            fleet.start(name, name.substr(0, 1));
            fleet.wait_until_ready();
        }
        load.request_stop();
        load.join();
        CPPUNIT_ASSERT_EQUAL(0, total.unknown_or_no_answer);
        CPPUNIT_ASSERT(total.complete > 100);
        std::cout << " [" << total.complete << " complete, " << total.not_run << " refused]";
    }

    void target_listed_as_leaving_gets_no_new_work()
    {
        process_fleet fleet;
        fleet.list_target(0, true);
        std::this_thread::sleep_for(max_leaving_delay);
        const std::uint64_t before = fleet.targets().counts(0).starts;
        call_both_hosts(fleet, 40);
        CPPUNIT_ASSERT_EQUAL(before, fleet.targets().counts(0).starts);
    }

    void target_that_announces_leaving_gets_no_new_work()
    {
        process_fleet fleet;
        fleet.targets().set_mode(stand_in_mode::leaving, 0);
        CPPUNIT_ASSERT(wait_until([&] {
            call_both_hosts(fleet, 1);
            return fleet.targets().counts(0).refusals > 0;
        }));
        CPPUNIT_ASSERT(wait_until(
            [&] { return is_leaving(fleet.host("a1")) && is_leaving(fleet.host("a2")); }));
        const stand_in_counts before = fleet.targets().counts(0);
        call_both_hosts(fleet, 40);
        const stand_in_counts after = fleet.targets().counts(0);
        CPPUNIT_ASSERT_EQUAL(before.starts, after.starts);
        CPPUNIT_ASSERT_EQUAL(before.refusals, after.refusals);
    }

  private:
    /// A task of 3 s; every second one carries a key.
    static caller_request_text long_task(process_fleet& fleet, int number)
    {
        const bool keyed = number % 2 == 0;
        const std::string ticket =
            keyed ? fetch_tickets(fleet.host("a1").port(), 1).front() : std::string();
        return make_task("booking", "long", 3000, ticket);
    }

    static bool is_leaving(const daemon_process& host)
    {
        const nlohmann::json now = host.status();
        return std::ranges::any_of(now.at("targets"), [](const nlohmann::json& it) {
            return it.at("target") == "t0" && it.at("stage") == "leaving";
        });
    }

    static void call_both_hosts(process_fleet& fleet, int count)
    {
        for (int n = 0; n < count; ++n) {
            for (const std::string name : {"a1", "a2"}) {
                const caller_answer got = fleet.host(name).call(make_task("check", "short", 5));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
            }
        }
    }

    static void count_answer(answer_counts& counts, const caller_answer& got)
    {
        counts.complete += got.status == 200 ? 1 : 0;
        counts.not_run += got.run == "not_run" ? 1 : 0;
        counts.unknown_or_no_answer += got.status != 200 && got.run != "not_run" ? 1 : 0;
    }

    /// Sends requests to a stopping host until it refuses connections.
    static answer_counts call_until_connection_refused(const daemon_process& host)
    {
        answer_counts counts;
        while (true) {
            const caller_answer got = host.call(make_task("check", "late", 5));
            if (got.status == 0) {
                return counts;
            }
            count_answer(counts, got);
        }
    }

    /// Sends a light load to all hosts, like a load balancer that skips hosts which refuse
    /// connections or are not ready.
    static answer_counts call_steadily(process_fleet& fleet, const std::stop_token& stop)
    {
        answer_counts counts;
        while (!stop.stop_requested()) {
            for (const std::uint16_t port : fleet.caller_ports()) {
                if (call_host(port, {.method = "GET", .path = "/readyz"}).status == 200) {
                    count_answer(counts, call_host(port, make_task("booking", "steady", 20)));
                }
            }
            std::this_thread::sleep_for(10ms);
        }
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_lifecycle_test);

} // namespace
