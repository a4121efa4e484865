#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::job_fixture;

/// Demand of the tasks of `job_fixture::make_job`.
constexpr std::int64_t task_cpu_millis = 27'000;

/// A host without workers whose callers' jobs go to other dispatchers.
class job_handover_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_handover_test);
    CPPUNIT_TEST(a_refused_job_goes_to_another_dispatcher);
    CPPUNIT_TEST(a_job_is_not_sent_twice_to_a_dispatcher_that_refused_it);
    CPPUNIT_TEST(a_job_that_waited_goes_only_where_places_are_free);
    CPPUNIT_TEST(a_job_that_cannot_be_in_time_is_not_handed_on);
    CPPUNIT_TEST(a_job_waits_for_the_link_to_be_reported_lost);
    CPPUNIT_TEST(a_call_waits_for_the_first_configuration);
    CPPUNIT_TEST(a_call_without_a_configuration_is_refused_after_a_while);
    CPPUNIT_TEST(an_abandoned_call_without_a_configuration_is_forgotten);
    CPPUNIT_TEST(a_call_waits_for_a_dispatcher_that_starts);
    CPPUNIT_TEST(a_call_is_refused_early_when_no_dispatcher_starts);
    CPPUNIT_TEST(the_load_is_reported_at_once_on_a_new_link);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { fixture_ = std::make_unique<job_fixture>(); }

    void a_refused_job_goes_to_another_dispatcher()
    {
        start();
        link("near", 20);
        link("far", 20, "zone-b");
        submit();
        const delegate_job first = take_delegation();
        CPPUNIT_ASSERT(first.to == host_name("near"));
        CPPUNIT_ASSERT(first.same_zone);
        refuse(first);
        const delegate_job second = take_delegation();
        CPPUNIT_ASSERT(second.to == host_name("far"));
        CPPUNIT_ASSERT(!second.same_zone);
    }

    void a_job_is_not_sent_twice_to_a_dispatcher_that_refused_it()
    {
        start();
        link("near", 20);
        submit();
        refuse(take_delegation());
        CPPUNIT_ASSERT(fixture_->take_actions<delegate_job>().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<answer_job>().size());
    }

    void a_job_that_waited_goes_only_where_places_are_free()
    {
        for (const std::uint32_t places : {1U, 20U}) {
            setUp();
            start();
            link("near", 40);
            submit();
            const delegate_job first = take_delegation();
            link("far", places, "zone-b");
            fixture_->advance(milliseconds(80)); // the objective is 300 ms, its decision 54 ms
            report_load("far", places);
            refuse(first);
            CPPUNIT_ASSERT_EQUAL(std::size_t{places == 1 ? 0U : 1U},
                                 fixture_->take_actions<delegate_job>().size());
        }
    }

    void a_job_that_cannot_be_in_time_is_not_handed_on()
    {
        start();
        link("near", 40);
        submit();
        const delegate_job first = take_delegation();
        fixture_->advance(milliseconds(210)); // 100 ms of work, 300 ms of objective
        link("far", 20, "zone-b");
        refuse(first);
        CPPUNIT_ASSERT(fixture_->take_actions<delegate_job>().empty());
    }

    void a_job_waits_for_the_link_to_be_reported_lost()
    {
        start();
        link("near", 20);
        submit();
        refuse(take_delegation(), refusal_reason::dispatcher_unlinked);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        fixture_->deliver(peer_lost{host_name("near")});
        link("far", 20, "zone-b");
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(take_delegation().to == host_name("far"));
    }

    void a_call_waits_for_the_first_configuration()
    {
        submit();
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        start();
        link("near", 20);
        fixture_->advance(milliseconds(50));
        CPPUNIT_ASSERT(take_delegation().to == host_name("near"));
    }

    void a_call_without_a_configuration_is_refused_after_a_while()
    {
        submit();
        fixture_->advance(milliseconds(250));
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        fixture_->advance(milliseconds(100));
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::refused);
    }

    void an_abandoned_call_without_a_configuration_is_forgotten()
    {
        submit();
        fixture_->deliver(call_abandoned{call_id(1)});
        start();
        link("near", 20);
        fixture_->advance(milliseconds(500));
        CPPUNIT_ASSERT(fixture_->take_actions<delegate_job>().empty());
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
    }

    void a_call_waits_for_a_dispatcher_that_starts()
    {
        start();
        submit();
        fixture_->advance(milliseconds(150));
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        link("near", 20);
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(take_delegation().to == host_name("near"));
    }

    void a_call_is_refused_early_when_no_dispatcher_starts()
    {
        start();
        fixture_->advance(seconds(2));
        submit();
        fixture_->advance(milliseconds(80));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<answer_job>().size());
    }

    void the_load_is_reported_at_once_on_a_new_link()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->advance(milliseconds(20));
        fixture_->take_actions<publish_load>();
        fixture_->deliver(delegator_connected{link_number(3)});
        fixture_->advance(milliseconds(10));
        const auto published = fixture_->take_actions<publish_load>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT(published[0].load.accepting);
    }

  private:
    void start()
    {
        fixture_->configure(1);
        fixture_->deliver(store_reached{});
    }

    /// Lists and links a dispatcher that has room for `places` tasks.
    void link(const std::string& host, std::uint32_t places, const std::string& zone = "zone-a")
    {
        fixture_->deliver(host_listed{
            {.host = host_name(host), .zone = zone_name(zone), .incarnation = incarnation_id(5)}});
        fixture_->deliver(peer_connected{host_name(host), incarnation_id(5)});
        report_load(host, places);
    }

    void report_load(const std::string& host, std::uint32_t places)
    {
        load_report load{.accepting = true,
                         .free_cpu_millis = task_cpu_millis * places,
                         .total_cpu_millis = task_cpu_millis * 40};
        load.places.free.fill(places);
        fixture_->deliver(load_reported{host_name(host), load});
    }

    void submit() { fixture_->submit_job(1, job_fixture::make_job("00000000000000a1", 2)); }

    delegate_job take_delegation()
    {
        const auto found = fixture_->take_actions<delegate_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        return found[0];
    }

    void refuse(const delegate_job& it, refusal_reason reason = refusal_reason::objective_missed)
    {
        fixture_->deliver(
            delegation_answered{it.delegation, job_outcome::refused, {.reason = reason}});
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_handover_test);

} // namespace

} // namespace papayafall::jobs
