#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;

namespace {

const seat_id seat{.zone = zone_name("zone-a"), .number = 0};
const wall_time inherited_at{std::chrono::seconds(1000)};

/// Tests when a granted seat restricts the keys that may start work. A missing restriction lets a
/// key that an earlier holder started run twice; a needless one rejects keys with known records.
class seat_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(seat_controller_test);
    CPPUNIT_TEST(seat_reacquired_by_its_last_holder_has_no_key_limits);
    CPPUNIT_TEST(seat_held_by_another_process_in_between_has_key_limits);
    CPPUNIT_TEST(acquisition_without_generation_has_key_limits);
    CPPUNIT_TEST(key_limits_persist_after_session_loss);
    CPPUNIT_TEST_SUITE_END();

  public:
    void seat_reacquired_by_its_last_holder_has_no_key_limits()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(session_lost{});
        host.deliver(seat_granted{seat, inherited_at, 2});
        CPPUNIT_ASSERT(seat_state_of(host)->phase == seat_phase::held);
        CPPUNIT_ASSERT(seat_state_of(host)->accept_keys_created_after == wall_time{});
        CPPUNIT_ASSERT(seat_state_of(host)->accept_undated_keys_from == time_point{});
    }

    void seat_held_by_another_process_in_between_has_key_limits()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(seat_refused{seat});
        host.deliver(seat_granted{seat, inherited_at, 3});
        CPPUNIT_ASSERT(seat_state_of(host)->accept_keys_created_after > inherited_at);
        CPPUNIT_ASSERT(seat_state_of(host)->accept_undated_keys_from > host.now().steady);
    }

    void acquisition_without_generation_has_key_limits()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, std::nullopt, 1});
        host.deliver(seat_granted{seat, inherited_at, 0});
        CPPUNIT_ASSERT(seat_state_of(host)->accept_keys_created_after > inherited_at);
    }

    void key_limits_persist_after_session_loss()
    {
        engine_fixture host;
        host.deliver(seat_granted{seat, inherited_at, 5});
        const seat_state before = seat_state_of(host);
        host.deliver(session_lost{});
        host.deliver(seat_granted{seat, inherited_at + std::chrono::hours(1), 6});
        CPPUNIT_ASSERT(seat_state_of(host)->accept_keys_created_after ==
                       before->accept_keys_created_after);
        CPPUNIT_ASSERT(seat_state_of(host)->accept_undated_keys_from ==
                       before->accept_undated_keys_from);
    }

  private:
    static seat_state seat_state_of(const engine_fixture& host)
    {
        return *host.board().seats.find(seat);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seat_controller_test);

} // namespace
