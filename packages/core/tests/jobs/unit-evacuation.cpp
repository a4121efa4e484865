#include "support/job_fixture.hpp"

#include "papayafall/core/jobs/controllers/peer_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

/// Zones that operators evacuate.
class evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(a_new_job_is_not_started_in_an_evacuated_zone);
    CPPUNIT_TEST(a_waiting_job_is_refused_at_the_evacuation);
    CPPUNIT_TEST(a_run_of_a_job_without_waiting_tasks_goes_on);
    CPPUNIT_TEST(a_started_job_may_start_its_other_tasks_for_a_short_time);
    CPPUNIT_TEST(workers_of_other_zones_are_used);
    CPPUNIT_TEST(jobs_are_handed_to_another_zone);
    CPPUNIT_TEST(the_end_of_an_evacuation_takes_effect);
    CPPUNIT_TEST(the_linked_hosts_are_told);
    CPPUNIT_TEST(a_host_learns_of_an_evacuation_from_a_linked_host);
    CPPUNIT_TEST(an_older_word_does_not_replace_a_newer_one);
    CPPUNIT_TEST(the_removal_of_an_older_request_does_not_end_a_newer_one);
    CPPUNIT_TEST(the_store_ends_a_request_that_it_no_longer_lists);
    CPPUNIT_TEST(a_zone_that_does_not_exist_is_ignored);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->take_actions<publish_evacuation>();
    }

    void a_new_job_is_not_started_in_an_evacuated_zone()
    {
        evacuate(20);
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
        submit(1, 1);
        fixture_->advance(milliseconds(300));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_waiting_job_is_refused_at_the_evacuation()
    {
        submit(1, 2); // as many tasks as fit
        submit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take_actions<start_run>().size());
        CPPUNIT_ASSERT(fixture_->board().jobs_by_id.contains(id_of(2)));
        evacuate(20);
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(!fixture_->board().jobs_by_id.contains(id_of(2)));
        CPPUNIT_ASSERT(fixture_->board().jobs_by_id.contains(id_of(1)));
    }

    void a_run_of_a_job_without_waiting_tasks_goes_on()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(starts.at(0));
        evacuate(20);
        fixture_->advance(milliseconds(90));
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
        fixture_->report_run_end(starts[0], run_outcome::done);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::succeeded);
    }

    void a_started_job_may_start_its_other_tasks_for_a_short_time()
    {
        const auto first = fixture_->submit_and_take_starts(1, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        fixture_->accept_start(first[0]);
        fixture_->accept_start(first[1]);
        evacuate(20);
        fixture_->report_run_end(first[0], run_outcome::done);
        fixture_->advance(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
        fixture_->advance(milliseconds(600));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::interrupted);
    }

    void workers_of_other_zones_are_used()
    {
        fixture_->deliver(claim_answered{make_cell_id(zone_name("zone-b"), 0),
                                         claim_result::granted, store_revision(8)});
        worker_fields other = job_fixture::make_worker("w-b");
        other.zone = zone_name("zone-b");
        fixture_->deliver(worker_listed{other});
        fixture_->deliver_report("w-b", {});
        evacuate(20);
        CPPUNIT_ASSERT(own_load(fixture_->board()).accepting);
        CPPUNIT_ASSERT_EQUAL(other.capacity.cpu_millis,
                             own_load(fixture_->board()).total_cpu_millis);
        submit(1, 2);
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            CPPUNIT_ASSERT(it.to.id == other.id);
        }
    }

    void jobs_are_handed_to_another_zone()
    {
        const host_name other("entry-2");
        fixture_->deliver(host_listed{{.host = other,
                                       .zone = zone_name("zone-b"),
                                       .incarnation = incarnation_id(2),
                                       .link = {"127.0.0.1", 2}}});
        fixture_->deliver(claim_listed{
            make_cell_id(zone_name("zone-b"), 0),
            {.holder = other, .incarnation = incarnation_id(2), .revision = store_revision(8)}});
        fixture_->deliver(peer_connected{other, incarnation_id(2)});
        fixture_->deliver(load_reported{other,
                                        {.accepting = true,
                                         .free_cpu_millis = 64'000,
                                         .total_cpu_millis = 64'000,
                                         .predicted_wait = milliseconds(20)}});
        evacuate(20);
        submit(1, 1);
        const auto delegated = fixture_->take_actions<delegate_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delegated.size());
        CPPUNIT_ASSERT(delegated[0].to == other);
    }

    void the_end_of_an_evacuation_takes_effect()
    {
        evacuate(20);
        fixture_->deliver(zone_evacuation_unlisted{zone_});
        CPPUNIT_ASSERT(own_load(fixture_->board()).accepting);
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void the_linked_hosts_are_told()
    {
        evacuate(20);
        evacuate(20);
        fixture_->deliver(zone_evacuation_unlisted{zone_});
        const auto told = fixture_->take_actions<publish_evacuation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        CPPUNIT_ASSERT((told[0].request == zone_evacuation{zone_, store_revision(20), false}));
        CPPUNIT_ASSERT((told[1].request == zone_evacuation{zone_, store_revision(20), true}));
    }

    // Guards against starts by a host that is cut off from the store.
    void a_host_learns_of_an_evacuation_from_a_linked_host()
    {
        report(20, false);
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
        report(20, true);
        CPPUNIT_ASSERT(own_load(fixture_->board()).accepting);
    }

    void an_older_word_does_not_replace_a_newer_one()
    {
        report(20, true);
        report(20, false);
        CPPUNIT_ASSERT(own_load(fixture_->board()).accepting);
        report(30, false);
        report(20, true);
        evacuate(20);
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
    }

    void the_removal_of_an_older_request_does_not_end_a_newer_one()
    {
        evacuate(20);
        report(30, false);
        fixture_->deliver(zone_evacuation_unlisted{zone_}); // the one of revision 20
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
    }

    // Guards against a zone that stays empty: the request was removed while this host was cut off,
    // so that it never saw it in the store.
    void the_store_ends_a_request_that_it_no_longer_lists()
    {
        report(20, false);
        fixture_->deliver(zone_evacuations_confirmed{store_revision(19)});
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
        fixture_->deliver(zone_evacuations_confirmed{store_revision(20)});
        CPPUNIT_ASSERT(own_load(fixture_->board()).accepting);
        evacuate(30);
        fixture_->deliver(zone_evacuations_confirmed{store_revision(40)});
        CPPUNIT_ASSERT(!own_load(fixture_->board()).accepting);
    }

    void a_zone_that_does_not_exist_is_ignored()
    {
        fixture_->deliver(zone_evacuation_listed{zone_name("zone-x"), store_revision(20)});
        CPPUNIT_ASSERT(fixture_->board().evacuations.empty());
        CPPUNIT_ASSERT(fixture_->take_actions<publish_evacuation>().empty());
    }

  private:
    const zone_name zone_{"zone-a"};

    void evacuate(std::uint64_t revision)
    {
        fixture_->deliver(zone_evacuation_listed{zone_, store_revision(revision)});
    }

    void report(std::uint64_t revision, bool ended)
    {
        fixture_->deliver(zone_evacuation_reported{
            {.zone = zone_, .revision = store_revision(revision), .ended = ended},
            host_name("entry-2")});
    }

    static job_id id_of(std::uint64_t number)
    {
        return job_id("00000000000000b" + std::to_string(number));
    }

    void submit(std::uint64_t number, std::uint32_t tasks)
    {
        fixture_->submit_job(number, job_fixture::make_job(id_of(number).text(), tasks));
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace

} // namespace papayafall::jobs
