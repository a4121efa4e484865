#include "support/process_fleet.hpp"

#include "papayafall/platform/operators/operator_errors.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

/// Time within which a confirmed change must be in force on every host.
constexpr auto max_configuration_delay = 8s;

std::string make_quota_intent(std::uint64_t slots)
{
    return R"({"teams": {"desk": {"slot_quota": )" + std::to_string(slots) + "}}}";
}

/// Hosts while the platform is down, slow or unreachable, and configuration changes.
class process_platform_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_platform_test);
    CPPUNIT_TEST(hosts_serve_while_the_platform_is_down);
    CPPUNIT_TEST(hosts_serve_while_the_platform_is_slow);
    CPPUNIT_TEST(hosts_serve_while_platform_answers_are_lost);
    CPPUNIT_TEST(hosts_serve_while_one_zone_is_cut_off);
    CPPUNIT_TEST(host_starts_with_the_configuration_of_a_peer);
    CPPUNIT_TEST(changes_take_effect_and_revisions_never_decrease);
    CPPUNIT_TEST(one_of_two_concurrent_changes_is_confirmed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void hosts_serve_while_the_platform_is_down()
    {
        process_fleet fleet;
        fleet.platform().set_faults({.down = true});
        wait_for_lapsed_leases(fleet, {"a1", "a2", "b1"});
        assert_serves(fleet, {"a1", "a2", "b1"});
        fleet.platform().set_faults({});
        fleet.wait_until_ready();
        wait_until_new_keys_run(fleet);
    }

    void hosts_serve_while_the_platform_is_slow()
    {
        process_fleet fleet;
        fleet.platform().set_faults({.delay_ms = 1500}); // exceeds the call timeout
        wait_for_lapsed_leases(fleet, {"a1", "a2", "b1"});
        assert_serves(fleet, {"a1", "a2", "b1"});
        fleet.platform().set_faults({});
        fleet.wait_until_ready();
        wait_until_new_keys_run(fleet);
    }

    void hosts_serve_while_platform_answers_are_lost()
    {
        process_fleet fleet;
        fleet.platform().set_faults({.lose_answers = 20, .end_sessions = true});
        assert_serves(fleet, {"a1", "a2", "b1"});
        CPPUNIT_ASSERT(wait_until([&] { return fleet.platform().counts()["open"] > 3; }));
        fleet.wait_until_ready();
        wait_until_new_keys_run(fleet);
    }

    void hosts_serve_while_one_zone_is_cut_off()
    {
        process_fleet fleet;
        const std::string key = fleet.make_key_homed_at("a1");
        fleet.platform().set_faults({.cut_zones = {"a"}});
        wait_for_lapsed_leases(fleet, {"a1", "a2"});
        assert_serves(fleet, {"a1", "a2", "b1"});
        const auto task = make_task("booking", "cut off", 5, key);
        CPPUNIT_ASSERT(fleet.host("a1").call(task).status != 200);
        CPPUNIT_ASSERT(fleet.host("b1").call(task).status != 200);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.starts("cut off"));
        const std::uint64_t revision = fleet.change_configuration(make_quota_intent(31));
        assert_in_force(fleet, revision);
    }

    void host_starts_with_the_configuration_of_a_peer()
    {
        process_fleet fleet;
        const std::uint64_t revision = fleet.change_configuration(make_quota_intent(30));
        assert_in_force(fleet, revision);
        fleet.platform().set_faults({.cut_zones = {"a"}});
        fleet.host("a1").kill();
        fleet.start_unlisted("a1", "a");
        assert_in_force(fleet, revision);
        assert_serves(fleet, {"a2", "b1"});
        CPPUNIT_ASSERT(wait_until(
            [&] { return fleet.host("a1").call(make_task("check", "born", 5)).status == 200; }));
    }

    void changes_take_effect_and_revisions_never_decrease()
    {
        process_fleet fleet;
        std::atomic<bool> revision_decreased = false;
        std::jthread watch([&](const std::stop_token& stop) {
            revision_decreased = observe_revision_decrease(fleet, stop);
        });
        for (std::uint64_t n = 1; n <= 25; ++n) { // enough to replace the snapshot once
            const plan_id id = fleet.propose("ana", make_quota_intent(n));
            fleet.platform().set_faults({.lose_answers = n % 5 == 0 ? 1U : 0U});
            assert_in_force(fleet, fleet.confirm("ana", id));
        }
        fleet.platform().set_faults({.end_sessions = true});
        fleet.wait_until_ready();
        watch.request_stop();
        watch.join();
        CPPUNIT_ASSERT(!revision_decreased);
    }

    void one_of_two_concurrent_changes_is_confirmed()
    {
        process_fleet fleet;
        const std::uint64_t before = fleet.host("a1").revision();
        const auto first = fleet.propose("ana", make_quota_intent(3));
        const auto second = fleet.propose("bor", make_quota_intent(4));
        auto other =
            std::async(std::launch::async, [&] { return try_confirm(fleet, second, "bor"); });
        const bool first_confirmed = try_confirm(fleet, first, "ana");
        CPPUNIT_ASSERT(first_confirmed != other.get());
        assert_in_force(fleet, before + 1);
        CPPUNIT_ASSERT(!wait_until([&] { return fleet.host("a1").revision() != before + 1; }, 1s));
    }

  private:
    static bool try_confirm(process_fleet& fleet, const plan_id& id, const std::string& author)
    {
        try {
            fleet.confirm(author, id);
            return true;
        } catch (const plan_conflict&) { // also catches the derived plan_stale
            return false;
        }
    }

    /// Polls the hosts until `stop` is requested; returns whether a revision decreased.
    static bool observe_revision_decrease(process_fleet& fleet, const std::stop_token& stop)
    {
        std::map<std::string, std::uint64_t> highest;
        while (!stop.stop_requested()) {
            for (const auto& [name, it] : fleet.hosts()) {
                const std::uint64_t now = it->revision(); // 0 when the host did not answer
                if (now != 0 && now < highest[name]) {
                    return true;
                }
                highest[name] = std::max(highest[name], now);
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    static void assert_in_force(process_fleet& fleet, std::uint64_t revision)
    {
        for (const auto& it : fleet.hosts()) {
            const daemon_process& host = *it.second;
            CPPUNIT_ASSERT_MESSAGE(it.first, wait_until([&] { return host.revision() == revision; },
                                                        max_configuration_delay));
        }
    }

    static void wait_for_lapsed_leases(process_fleet& fleet, const std::vector<std::string>& names)
    {
        for (const std::string& it : names) {
            CPPUNIT_ASSERT(wait_until([&] { return fleet.host(it).homed_seats().empty(); }));
        }
    }

    /// Requests without a key run at each host; one with a ticket runs once and is answered by all.
    static void assert_serves(process_fleet& fleet, const std::vector<std::string>& names)
    {
        for (const std::string& it : names) {
            const std::string ticket = fetch_tickets(fleet.host(it).port(), 1).front();
            const std::string id = "ticket of " + it;
            const auto task = make_task("booking", id, 5, ticket);
            const auto before = fleet.starts(id);
            const caller_answer plain = fleet.host(it).call(make_task("check", "plain", 5));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(plain.body, 200, plain.status);
            for (const std::string& other : names) {
                const caller_answer got = fleet.host(other).call(task);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
            }
            CPPUNIT_ASSERT_EQUAL(before + 1, fleet.starts(id));
        }
    }

    static void wait_until_new_keys_run(process_fleet& fleet)
    {
        int number = 0;
        CPPUNIT_ASSERT(wait_until([&] {
            const std::string id = "new" + std::to_string(number++);
            const auto task = make_task("booking", id, 5, fleet.make_uuidv7_key());
            return fleet.host("b1").call(task).status == 200 && fleet.starts(id) == 1;
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_platform_test);

} // namespace
