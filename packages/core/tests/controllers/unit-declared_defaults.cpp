#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using papayafall::test_support::engine_fixture;

namespace {

/// What the operators' configuration declares, where a request or an operator looks for it.
class declared_defaults_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(declared_defaults_test);
    CPPUNIT_TEST(urgency_of_the_service_applies_to_a_request_without_one);
    CPPUNIT_TEST(urgency_of_the_request_goes_first);
    CPPUNIT_TEST(change_in_force_names_its_origin);
    CPPUNIT_TEST_SUITE_END();

  public:
    void urgency_of_the_service_applies_to_a_request_without_one()
    {
        CPPUNIT_ASSERT(started_with(std::nullopt) == urgency_level::urgent);
    }

    void urgency_of_the_request_goes_first()
    {
        CPPUNIT_ASSERT(started_with(urgency_level::normal) == urgency_level::normal);
        CPPUNIT_ASSERT(started_with(urgency_level::background) == urgency_level::background);
    }

    void change_in_force_names_its_origin()
    {
        engine_fixture host;
        const change_origin origin{plan_id("5f0c"), operator_name("ana")};
        host.deliver(configuration_received{configuration({.revision = revision_id(3)})});
        CPPUNIT_ASSERT(!host.board().last_change.get().origin);
        host.deliver(configuration_received{configuration({.revision = revision_id(4)}), origin});
        host.deliver(configuration_received{configuration({.revision = revision_id(2)})});

        const auto applied = host.take<configuration_applied>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied.size());
        const applied_change expected{
            .applied_at = host.now().wall, .previous_revision = revision_id(3), .origin = origin};
        CPPUNIT_ASSERT(applied[1].change == expected);
        CPPUNIT_ASSERT(host.board().last_change.get() == expected);
    }

  private:
    /// Urgency of the task that starts for a request to a service that declares `urgent`.
    static urgency_level started_with(std::optional<urgency_level> asked)
    {
        engine_fixture host;
        host.configure({.urgency = urgency_level::urgent});
        host.list(1);
        host.pass(std::chrono::seconds(10));
        host.ask(1, std::chrono::seconds(10), asked);
        const auto started = host.take<start_exchange>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started.size());
        return started[0].work->urgency;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_defaults_test);

} // namespace
