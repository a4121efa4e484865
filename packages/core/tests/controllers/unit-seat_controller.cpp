#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;

namespace {

const seat_id seat{.zone = zone_name("zone-a"), .number = 0};
const wall_time inherited_at{std::chrono::seconds(1000)};

class seat_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(seat_controller_test);
    CPPUNIT_TEST(seat_held_without_break_inherits_nothing);
    CPPUNIT_TEST(seat_that_another_process_held_is_inherited);
    CPPUNIT_TEST(uncounted_acquisition_is_inherited);
    CPPUNIT_TEST(limits_outlive_the_loss_of_the_seat);
    CPPUNIT_TEST_SUITE_END();

  public:
    void seat_held_without_break_inherits_nothing()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(session_lost{});
        host.deliver(seat_granted{seat, inherited_at, 2});
        CPPUNIT_ASSERT(state(host)->phase == seat_phase::held);
        CPPUNIT_ASSERT(state(host)->accept_keys_made_after == wall_time{});
        CPPUNIT_ASSERT(state(host)->accept_undated_keys_from == time_point{});
    }

    void seat_that_another_process_held_is_inherited()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(seat_refused{seat});
        host.deliver(seat_granted{seat, inherited_at, 3});
        CPPUNIT_ASSERT(state(host)->accept_keys_made_after > inherited_at);
        CPPUNIT_ASSERT(state(host)->accept_undated_keys_from > host.now().steady);
    }

    void uncounted_acquisition_is_inherited()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(seat_granted{seat, inherited_at, 0});
        CPPUNIT_ASSERT(state(host)->accept_keys_made_after > inherited_at);
    }

    void limits_outlive_the_loss_of_the_seat()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, inherited_at, 5});
        const seat_state before = state(host);
        host.deliver(session_lost{});
        host.deliver(seat_granted{seat, inherited_at + std::chrono::hours(1), 6});
        CPPUNIT_ASSERT(state(host)->accept_keys_made_after == before->accept_keys_made_after);
        CPPUNIT_ASSERT(state(host)->accept_undated_keys_from == before->accept_undated_keys_from);
    }

  private:
    static seat_state state(const engine_fixture& host) { return *host.board().seats.find(seat); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seat_controller_test);

} // namespace
