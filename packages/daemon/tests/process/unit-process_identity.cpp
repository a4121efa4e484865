#include "support/process_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

void assert_outcome_unknown(const caller_answer& answer)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("unknown"), answer.run);
}

/// A keyed task starts at most once, also if the process that is the home of its key crashes or is
/// paused.
class process_identity_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_identity_test);
    CPPUNIT_TEST(key_is_forwarded_to_its_home);
    CPPUNIT_TEST(home_killed_before_the_run);
    CPPUNIT_TEST(home_killed_during_the_run);
    CPPUNIT_TEST(home_killed_after_the_run);
    CPPUNIT_TEST(home_paused_beyond_its_lease);
    CPPUNIT_TEST_SUITE_END();

  public:
    void key_is_forwarded_to_its_home()
    {
        process_fleet fleet;
        const std::string key = fleet.make_key_of("a1");
        const caller_request_text task = make_task("booking", "once", 50, key);

        const caller_answer first = fleet.host("b1").call(task);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200, first.status);
        CPPUNIT_ASSERT(first == fleet.host("a2").call(task));
        CPPUNIT_ASSERT(first == fleet.host("a1").call(task));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.starts("once"));
    }

    void home_killed_before_the_run()
    {
        process_fleet fleet;
        const std::string ticket = fetch_tickets(fleet.host("a1").port(), 1).front();
        const std::string key = fleet.make_key_of("a1");
        fleet.host("a1").kill();

        assert_never_started(fleet, make_task("booking", "ticket", 50, ticket));
        assert_never_started(fleet, make_task("booking", "key", 50, key));
        wait_for_seats(fleet, "a2", 8);
        assert_never_started(fleet, make_task("booking", "ticket", 50, ticket));
        assert_never_started(fleet, make_task("booking", "key", 50, key));
        assert_new_keys_run(fleet);
    }

    void home_killed_during_the_run()
    {
        process_fleet fleet;
        const std::string ticket = fetch_tickets(fleet.host("a1").port(), 1).front();
        const auto by_ticket = make_task("booking", "ticket", 2000, ticket);
        const auto by_key = make_task("booking", "key", 2000, fleet.make_key_of("a1"));
        auto first =
            std::async(std::launch::async, [&] { return fleet.host("a2").call(by_ticket); });
        auto second = std::async(std::launch::async, [&] { return fleet.host("b1").call(by_key); });
        CPPUNIT_ASSERT(
            wait_until([&] { return fleet.starts("ticket") == 1 && fleet.starts("key") == 1; }));
        fleet.host("a1").kill();

        assert_outcome_unknown(first.get());
        assert_outcome_unknown(second.get());
        assert_started_once(fleet, by_ticket);
        assert_started_once(fleet, by_key);
        wait_for_seats(fleet, "a2", 8);
        assert_started_once(fleet, by_ticket);
        assert_started_once(fleet, by_key);
    }

    void home_killed_after_the_run()
    {
        process_fleet fleet;
        const std::string ticket = fetch_tickets(fleet.host("a1").port(), 1).front();
        const auto by_ticket = make_task("booking", "ticket", 20, ticket);
        const auto by_key = make_task("booking", "key", 20, fleet.make_key_of("a1"));
        CPPUNIT_ASSERT_EQUAL(200, fleet.host("b1").call(by_ticket).status);
        CPPUNIT_ASSERT_EQUAL(200, fleet.host("a2").call(by_key).status);
        fleet.host("a1").kill();

        assert_started_once(fleet, by_ticket);
        assert_started_once(fleet, by_key);
        fleet.start("a1", "a");
        wait_for_seats(fleet, "a2", 1);
        CPPUNIT_ASSERT(wait_until([&] { return fleet.host("a1").ready(); }));
        assert_outcome_unknown(fleet.host("a1").call(by_ticket));
        assert_outcome_unknown(fleet.host("a1").call(by_key));
        assert_started_once(fleet, by_ticket);
        assert_started_once(fleet, by_key);
    }

    void home_paused_beyond_its_lease()
    {
        process_fleet fleet;
        const std::vector<std::uint32_t> seats = fleet.host("a1").homed_seats();
        const std::string old_key = fleet.make_key_of("a1");
        fleet.host("a1").send_signal(SIGSTOP);
        wait_for_seats(fleet, "a2", 8);
        std::this_thread::sleep_for(2500ms); // until the new home accepts newly made keys
        const std::string new_key = fleet.make_key_of_seat("a", seats.front());
        assert_resumed_home_starts_nothing(fleet, make_task("booking", "old", 300, old_key),
                                           make_task("booking", "new", 300, new_key));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.starts("old"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.starts("new"));
    }

  private:
    /// Sends both tasks to the paused home, resumes it and sends both tasks to the new home.
    static void assert_resumed_home_starts_nothing(process_fleet& fleet,
                                                   const caller_request_text& old_task,
                                                   const caller_request_text& new_task)
    {
        auto paused_old =
            std::async(std::launch::async, [&] { return fleet.host("a1").call(old_task); });
        auto paused_new =
            std::async(std::launch::async, [&] { return fleet.host("a1").call(new_task); });
        std::this_thread::sleep_for(200ms); // until both requests are pending at the paused process
        fleet.host("a1").send_signal(SIGCONT);
        assert_outcome_unknown(fleet.host("a2").call(old_task));
        const caller_answer answer = fleet.host("a2").call(new_task);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
        assert_outcome_unknown(paused_old.get());
        const caller_answer late_answer = paused_new.get();
        CPPUNIT_ASSERT_MESSAGE(late_answer.body,
                               late_answer.run == "unknown" || late_answer == answer);
    }

    static void assert_never_started(process_fleet& fleet, const caller_request_text& task)
    {
        for (const std::string name : {"a2", "b1"}) {
            assert_outcome_unknown(fleet.host(name).call(task));
        }
        const std::string id = nlohmann::json::parse(task.body).at("id");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.starts(id));
    }

    static void assert_started_once(process_fleet& fleet, const caller_request_text& task)
    {
        for (const std::string name : {"a2", "b1"}) {
            assert_outcome_unknown(fleet.host(name).call(task));
        }
        const std::string id = nlohmann::json::parse(task.body).at("id");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.starts(id));
    }

    static void assert_new_keys_run(process_fleet& fleet)
    {
        int number = 0;
        CPPUNIT_ASSERT(wait_until([&] {
            const std::string id = "later" + std::to_string(number++);
            return fleet.host("b1")
                       .call(make_task("booking", id, 5, fleet.make_key_of("a2")))
                       .status == 200;
        }));
    }

    static void wait_for_seats(process_fleet& fleet, const std::string& name, std::size_t count)
    {
        CPPUNIT_ASSERT(wait_until([&] { return fleet.host(name).homed_seats().size() >= count; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_identity_test);

} // namespace
