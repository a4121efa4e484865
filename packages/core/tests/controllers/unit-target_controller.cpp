#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;
using std::chrono::seconds;

namespace {

class target_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_controller_test);
    CPPUNIT_TEST(new_target_grows_from_a_part_of_its_slots);
    CPPUNIT_TEST(empty_list_keeps_the_targets);
    CPPUNIT_TEST(vanished_target_leaves_and_is_removed);
    CPPUNIT_TEST(target_that_says_it_leaves_gets_no_work);
    CPPUNIT_TEST(word_of_a_peer_is_not_passed_on);
    CPPUNIT_TEST(peers_share_the_targets_and_inherit_them_carefully);
    CPPUNIT_TEST(failing_target_is_ejected_and_probed_back);
    CPPUNIT_TEST(no_more_than_a_share_is_ejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void new_target_grows_from_a_part_of_its_slots()
    {
        engine_fixture host;
        host.list(1);
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::careful);
        CPPUNIT_ASSERT_EQUAL(1U, host.board().target_slot_totals->usable);
        host.pass(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::healthy);
        CPPUNIT_ASSERT_EQUAL(4U, host.board().target_slot_totals->usable);
    }

    void empty_list_keeps_the_targets()
    {
        engine_fixture host;
        host.list(3);
        host.pass(seconds(2));
        for (int n = 0; n < 5; ++n) {
            host.list(0);
        }
        CPPUNIT_ASSERT_EQUAL(12U, host.board().target_slot_totals->usable);
    }

    void vanished_target_leaves_and_is_removed()
    {
        engine_fixture host;
        host.list(3);
        host.pass(seconds(2));
        host.list(2);
        CPPUNIT_ASSERT(host.target(2)->stage == target_stage::leaving);
        CPPUNIT_ASSERT_EQUAL(8U, host.board().target_slot_totals->usable);
        host.pass(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.board().targets.size());
    }

    void target_that_says_it_leaves_gets_no_work()
    {
        engine_fixture host;
        start_serving(host, 1);
        host.ask();
        const auto started = host.take<start_exchange>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started.size());
        host.deliver(exchange_finished{started.front().exchange, target_refused{.leaving = true}});
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::leaving);
        CPPUNIT_ASSERT(host.take<start_exchange>().empty());
        host.pass(seconds(1));
        const auto beats = host.take<send_heartbeat>();
        CPPUNIT_ASSERT(host.board().own_heartbeat.get()->leaving_targets ==
                       std::vector<target_name>{target_name("target-0")});
    }

    void word_of_a_peer_is_not_passed_on()
    {
        engine_fixture host;
        host.list(2);
        host.beat("entry-2", {.leaving_targets = {target_name("target-0")}});
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::leaving);
        host.pass(seconds(1));
        CPPUNIT_ASSERT(host.board().own_heartbeat.get()->leaving_targets.empty());
    }

    void peers_share_the_targets_and_inherit_them_carefully()
    {
        engine_fixture host;
        host.list(40);
        host.pass(seconds(2));
        host.beat("entry-2");
        host.pass(seconds(1));
        const std::uint32_t shared = host.board().target_health->owned;
        CPPUNIT_ASSERT(shared > 5 && shared < 35);
        host.pass(seconds(4)); // the peer is gone
        CPPUNIT_ASSERT_EQUAL(40U, host.board().target_health->owned);
        host.pass(seconds(2));
        CPPUNIT_ASSERT_EQUAL(160U, host.board().target_slot_totals->usable);
    }

    void failing_target_is_ejected_and_probed_back()
    {
        engine_fixture host;
        start_serving(host, 4);
        serve(host, 10, 1);
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::ejected);
        CPPUNIT_ASSERT_EQUAL(12U, host.board().target_slot_totals->usable);
        host.pass(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::probing);
        serve(host, 4, 0);
        host.pass(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::healthy);
    }

    void no_more_than_a_share_is_ejected()
    {
        engine_fixture host;
        start_serving(host, 10);
        serve(host, 50, 10);
        CPPUNIT_ASSERT(host.board().target_health->ejected <= 3);
    }

  private:
    static void start_serving(engine_fixture& host, int targets)
    {
        host.configure({.time_limit = std::chrono::seconds(10)});
        host.list(targets);
        host.pass(seconds(2));
        host.take<start_exchange>();
    }

    /// Makes rounds of eight requests; the targets below `failing` break the connection.
    static void serve(engine_fixture& host, int rounds, int failing)
    {
        for (int n = 0; n < rounds; ++n) {
            for (int request = 0; request < 8; ++request) {
                host.ask();
            }
            for (const start_exchange& it : host.take<start_exchange>()) {
                const bool fails = std::stoi(it.target.text().substr(7)) < failing;
                host.deliver(exchange_finished{
                    it.exchange, fails ? exchange_outcome(connection_lost{})
                                       : exchange_outcome(task_answer{.status = 200})});
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_controller_test);

} // namespace
