#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using papayafall::test_support::engine_fixture;

namespace {

/// Tests that values declared in the configuration apply to requests that specify none, and that
/// the origin of the applied configuration is recorded.
class declared_defaults_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(declared_defaults_test);
    CPPUNIT_TEST(request_without_urgency_gets_that_of_the_service);
    CPPUNIT_TEST(urgency_of_the_request_takes_precedence);
    CPPUNIT_TEST(applied_change_records_its_origin);
    CPPUNIT_TEST_SUITE_END();

  public:
    void request_without_urgency_gets_that_of_the_service()
    {
        CPPUNIT_ASSERT(urgency_of_started_task(std::nullopt) == urgency_level::urgent);
    }

    void urgency_of_the_request_takes_precedence()
    {
        CPPUNIT_ASSERT(urgency_of_started_task(urgency_level::normal) == urgency_level::normal);
        CPPUNIT_ASSERT(urgency_of_started_task(urgency_level::background) ==
                       urgency_level::background);
    }

    void applied_change_records_its_origin()
    {
        engine_fixture host;
        const change_origin origin{plan_id("5f0c"), operator_name("ana")};
        host.deliver(configuration_received{configuration({.revision = revision_id(3)})});
        CPPUNIT_ASSERT(!host.board().last_change.get().origin);
        host.deliver(configuration_received{configuration({.revision = revision_id(4)}), origin});
        host.deliver(configuration_received{configuration({.revision = revision_id(2)})});

        const auto applied = host.take_actions<configuration_applied>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied.size());
        const applied_change expected{
            .applied_at = host.now().wall, .previous_revision = revision_id(3), .origin = origin};
        CPPUNIT_ASSERT(applied[1].change == expected);
        CPPUNIT_ASSERT(host.board().last_change.get() == expected);
    }

  private:
    /// Returns the urgency of the task started for a request with the urgency `requested` to a
    /// service that declares `urgent`.
    static urgency_level urgency_of_started_task(std::optional<urgency_level> requested)
    {
        engine_fixture host;
        host.configure({.urgency = urgency_level::urgent});
        host.deliver_host_list(1);
        host.advance_time(std::chrono::seconds(10));
        host.submit_request(1, std::chrono::seconds(10), requested);
        const auto started = host.take_actions<start_exchange>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started.size());
        return started[0].work->urgency;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_defaults_test);

} // namespace
