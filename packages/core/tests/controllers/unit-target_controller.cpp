#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;
using std::chrono::seconds;

namespace {

/// Tests the stages of targets and their division among the hosts of a zone.
class target_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_controller_test);
    CPPUNIT_TEST(new_target_ramps_up_from_a_quarter_of_its_slots);
    CPPUNIT_TEST(empty_host_list_keeps_the_targets);
    CPPUNIT_TEST(unlisted_target_leaves_and_is_removed);
    CPPUNIT_TEST(leaving_target_gets_no_work);
    CPPUNIT_TEST(leaving_target_reported_by_peer_is_not_propagated);
    CPPUNIT_TEST(targets_are_divided_and_those_of_a_lost_peer_taken_over);
    CPPUNIT_TEST(failing_target_is_ejected_and_recovers_by_probing);
    CPPUNIT_TEST(ejected_share_is_limited);
    CPPUNIT_TEST_SUITE_END();

  public:
    void new_target_ramps_up_from_a_quarter_of_its_slots()
    {
        engine_fixture host;
        host.deliver_host_list(1);
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::careful);
        CPPUNIT_ASSERT_EQUAL(1U, host.board().target_slot_totals->usable);
        host.advance_time(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::healthy);
        CPPUNIT_ASSERT_EQUAL(4U, host.board().target_slot_totals->usable);
    }

    void empty_host_list_keeps_the_targets()
    {
        engine_fixture host;
        host.deliver_host_list(3);
        host.advance_time(seconds(2));
        for (int n = 0; n < 5; ++n) {
            host.deliver_host_list(0);
        }
        CPPUNIT_ASSERT_EQUAL(12U, host.board().target_slot_totals->usable);
    }

    void unlisted_target_leaves_and_is_removed()
    {
        engine_fixture host;
        host.deliver_host_list(3);
        host.advance_time(seconds(2));
        host.deliver_host_list(2);
        CPPUNIT_ASSERT(host.target(2)->stage == target_stage::leaving);
        CPPUNIT_ASSERT_EQUAL(8U, host.board().target_slot_totals->usable);
        host.advance_time(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.board().targets.size());
    }

    void leaving_target_gets_no_work()
    {
        engine_fixture host;
        set_up_targets(host, 1);
        host.submit_request();
        const auto started = host.take_actions<start_exchange>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started.size());
        host.deliver(exchange_finished{started.front().exchange, target_refused{.leaving = true}});
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::leaving);
        CPPUNIT_ASSERT(host.take_actions<start_exchange>().empty());
        host.advance_time(seconds(1));
        const auto beats = host.take_actions<send_heartbeat>();
        CPPUNIT_ASSERT(host.board().own_heartbeat.get()->leaving_targets ==
                       std::vector<target_name>{target_name("target-0")});
    }

    /// Hosts that repeat the reports of peers would keep a target leaving forever.
    void leaving_target_reported_by_peer_is_not_propagated()
    {
        engine_fixture host;
        host.deliver_host_list(2);
        host.deliver_heartbeat("entry-2", {.leaving_targets = {target_name("target-0")}});
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::leaving);
        host.advance_time(seconds(1));
        CPPUNIT_ASSERT(host.board().own_heartbeat.get()->leaving_targets.empty());
    }

    void targets_are_divided_and_those_of_a_lost_peer_taken_over()
    {
        engine_fixture host;
        host.deliver_host_list(40);
        host.advance_time(seconds(2));
        host.deliver_heartbeat("entry-2");
        host.advance_time(seconds(1));
        const std::uint32_t shared = host.board().target_health->owned;
        CPPUNIT_ASSERT(shared > 5 && shared < 35);
        host.advance_time(seconds(4)); // longer than the host timeout of the peer
        CPPUNIT_ASSERT_EQUAL(40U, host.board().target_health->owned);
        host.advance_time(seconds(2));
        CPPUNIT_ASSERT_EQUAL(160U, host.board().target_slot_totals->usable);
    }

    void failing_target_is_ejected_and_recovers_by_probing()
    {
        engine_fixture host;
        set_up_targets(host, 4);
        run_request_rounds(host, 10, 1);
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::ejected);
        CPPUNIT_ASSERT_EQUAL(12U, host.board().target_slot_totals->usable);
        host.advance_time(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::probing);
        run_request_rounds(host, 4, 0);
        host.advance_time(seconds(2));
        CPPUNIT_ASSERT(host.target(0)->stage == target_stage::healthy);
    }

    void ejected_share_is_limited()
    {
        engine_fixture host;
        set_up_targets(host, 10);
        run_request_rounds(host, 50, 10);
        CPPUNIT_ASSERT(host.board().target_health->ejected <= 3);
    }

  private:
    /// Lists the targets and lets them become healthy.
    static void set_up_targets(engine_fixture& host, int targets)
    {
        host.configure({.time_limit = std::chrono::seconds(10)});
        host.deliver_host_list(targets);
        host.advance_time(seconds(2));
        host.take_actions<start_exchange>();
    }

    /// Submits rounds of eight requests; the targets with a number below `failing` lose the
    /// connection.
    static void run_request_rounds(engine_fixture& host, int rounds, int failing)
    {
        for (int n = 0; n < rounds; ++n) {
            for (int request = 0; request < 8; ++request) {
                host.submit_request();
            }
            for (const start_exchange& it : host.take_actions<start_exchange>()) {
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
