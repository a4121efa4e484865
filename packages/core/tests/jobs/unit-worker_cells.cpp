#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

const host_name other_host("entry-2");
constexpr incarnation_id other_incarnation(5);

class worker_cells_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_cells_test);
    CPPUNIT_TEST(an_unclaimed_cell_is_claimed);
    CPPUNIT_TEST(a_cell_of_a_live_holder_is_not_claimed);
    CPPUNIT_TEST(a_cell_whose_holder_is_listed_late_is_not_claimed);
    CPPUNIT_TEST(a_lapsed_claim_of_a_linked_holder_is_not_replaced);
    CPPUNIT_TEST(a_cell_of_a_dead_holder_is_taken_over);
    CPPUNIT_TEST(a_restarted_host_reclaims_its_cell_at_once);
    CPPUNIT_TEST(a_cell_that_lapsed_in_a_common_outage_is_left_to_its_holder_at_first);
    CPPUNIT_TEST(cells_of_hosts_that_start_later_are_not_claimed_at_first);
    CPPUNIT_TEST(a_cell_of_another_zone_is_claimed_only_without_hosts_there);
    CPPUNIT_TEST(runs_of_a_former_holder_are_stopped_before_leases_are_extended);
    CPPUNIT_TEST(a_stronger_host_claims_the_cell_of_a_weak_live_holder);
    CPPUNIT_TEST(an_equally_strong_host_does_not_claim_a_held_cell);
    CPPUNIT_TEST(the_strongest_host_claims_first);
    CPPUNIT_TEST(only_the_strongest_host_claims_from_a_leaving_holder);
    CPPUNIT_TEST(a_fenced_holder_drops_the_cell);
    CPPUNIT_TEST(a_holder_keeps_starting_runs_without_the_store);
    CPPUNIT_TEST(a_lapsed_claim_is_renewed_with_a_higher_token);
    CPPUNIT_TEST(a_report_call_fenced_by_the_own_newer_token_is_repeated);
    CPPUNIT_TEST(workers_are_released_as_their_runs_end);
    CPPUNIT_TEST(a_new_holder_waits_for_the_release_of_workers);
    CPPUNIT_TEST(workers_unlisted_after_a_store_outage_get_time_to_relist);
    CPPUNIT_TEST(a_run_that_this_host_did_not_start_is_stopped);
    CPPUNIT_TEST(the_run_of_an_unlisted_worker_that_answers_goes_on);
    CPPUNIT_TEST(the_run_of_an_unlisted_silent_worker_restarts_after_its_lease);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { fixture_ = std::make_unique<job_fixture>(); }

    void an_unclaimed_cell_is_claimed()
    {
        list_own_host();
        fixture_->advance(milliseconds(200));
        const auto claims = fixture_->take_actions<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT(claims[0].cell == job_fixture::own_cell());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, claims[0].expected.value());
    }

    void a_cell_of_a_live_holder_is_not_claimed()
    {
        list_other_holder(true);
        fixture_->advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
    }

    void a_cell_whose_holder_is_listed_late_is_not_claimed()
    {
        list_own_host();
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = other_host,
                                        .incarnation = other_incarnation,
                                        .revision = store_revision(3)}});
        fixture_->advance(milliseconds(250));
        fixture_->deliver(host_listed{
            {.host = other_host, .zone = zone_name("zone-a"), .incarnation = other_incarnation}});
        fixture_->advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
    }

    void a_lapsed_claim_of_a_linked_holder_is_not_replaced()
    {
        list_other_holder(true);
        fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
        fixture_->deliver(host_unlisted{other_host});
        fixture_->advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
    }

    void a_cell_of_a_dead_holder_is_taken_over()
    {
        list_other_holder(true);
        fixture_->deliver(peer_lost{other_host});
        fixture_->advance(std::chrono::seconds(3));
        // The holder is still listed, so it may only be partitioned from this host.
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
        fixture_->deliver(host_unlisted{other_host});
        fixture_->advance(std::chrono::seconds(1));
        const auto claims = fixture_->take_actions<claim_cell>();
        CPPUNIT_ASSERT(!claims.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, claims[0].expected.value());
    }

    void a_restarted_host_reclaims_its_cell_at_once()
    {
        list_own_host();
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = host_name("entry-1"),
                                        .incarnation = incarnation_id(0),
                                        .revision = store_revision(4)}});
        fixture_->advance(milliseconds(120));
        const auto claims = fixture_->take_actions<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, claims[0].expected.value());
    }

    void a_cell_that_lapsed_in_a_common_outage_is_left_to_its_holder_at_first()
    {
        list_own_host();
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = other_host,
                                        .incarnation = other_incarnation,
                                        .revision = store_revision(3)}});
        fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
        fixture_->advance(milliseconds(250));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
        fixture_->advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<claim_cell>().size());
    }

    /// Load: 100 workers, which call for two hosts; one is listed.
    void cells_of_hosts_that_start_later_are_not_claimed_at_first()
    {
        fixture_ = std::make_unique<job_fixture>(job_parameters{.cells_per_zone = 4});
        for (int n = 0; n < 100; ++n) {
            fixture_->deliver(worker_listed{job_fixture::make_worker("w-" + std::to_string(n))});
        }
        list_own_host();
        fixture_->advance(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take_actions<claim_cell>().size());
        fixture_->advance(milliseconds(450));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take_actions<claim_cell>().size());
    }

    void a_cell_of_another_zone_is_claimed_only_without_hosts_there()
    {
        fixture_->acquire_cell();
        worker_fields foreign_worker = job_fixture::make_worker("w-9");
        foreign_worker.zone = zone_name("zone-b");
        fixture_->deliver(worker_listed{foreign_worker});
        fixture_->deliver(host_listed{
            {.host = other_host, .zone = zone_name("zone-b"), .incarnation = other_incarnation}});
        fixture_->advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
        fixture_->deliver(host_unlisted{other_host});
        fixture_->advance(std::chrono::seconds(10));
        const auto claims = fixture_->take_actions<claim_cell>();
        CPPUNIT_ASSERT(!claims.empty());
        CPPUNIT_ASSERT(claims[0].cell == cell_id("zone-b/0"));
    }

    void runs_of_a_former_holder_are_stopped_before_leases_are_extended()
    {
        fixture_->acquire_cell();
        fixture_->deliver(worker_listed{job_fixture::make_worker("w-1")});
        const run_id stray{.job = job_id("00000000000000c1"), .number = 1};
        worker_report report;
        report.running.push_back({.run = stray});
        fixture_->deliver_report("w-1", report);
        const auto stops = fixture_->take_actions<stop_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(stops[0].run == stray);
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        for (const fetch_report& it : fixture_->take_actions<fetch_report>()) {
            CPPUNIT_ASSERT(!it.lease_until);
        }
        fixture_->deliver_report("w-1", {});
        fixture_->advance(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void a_stronger_host_claims_the_cell_of_a_weak_live_holder()
    {
        list_other_holder(true, job_fixture::host_cpu_millis / 4);
        fixture_->advance(milliseconds(900));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
        fixture_->advance(milliseconds(300));
        const auto claims = fixture_->take_actions<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, claims[0].expected.value());
    }

    void an_equally_strong_host_does_not_claim_a_held_cell()
    {
        list_other_holder(true, job_fixture::host_cpu_millis);
        fixture_->advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
    }

    void the_strongest_host_claims_first()
    {
        for (const std::int64_t it :
             {job_fixture::host_cpu_millis / 2, job_fixture::host_cpu_millis * 2}) {
            setUp();
            fixture_->deliver(host_listed{{.host = other_host,
                                           .zone = zone_name("zone-a"),
                                           .incarnation = other_incarnation,
                                           .cpu_millis = it}});
            list_own_host();
            fixture_->advance(milliseconds(250));
            const std::size_t expected = it < job_fixture::host_cpu_millis ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(expected, fixture_->take_actions<claim_cell>().size());
        }
    }

    void only_the_strongest_host_claims_from_a_leaving_holder()
    {
        for (const std::int64_t it :
             {job_fixture::host_cpu_millis / 2, job_fixture::host_cpu_millis * 2}) {
            setUp();
            list_other_holder(true, job_fixture::host_cpu_millis);
            fixture_->deliver(host_listed{{.host = host_name("entry-3"),
                                           .zone = zone_name("zone-a"),
                                           .incarnation = incarnation_id(6),
                                           .cpu_millis = it}});
            fixture_->advance(std::chrono::seconds(3));
            fixture_->deliver(host_listed{{.host = other_host,
                                           .zone = zone_name("zone-a"),
                                           .incarnation = other_incarnation,
                                           .leaving = true,
                                           .cpu_millis = job_fixture::host_cpu_millis}});
            fixture_->advance(milliseconds(1400));
            const std::size_t expected = it < job_fixture::host_cpu_millis ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(expected, fixture_->take_actions<claim_cell>().size());
            // Nobody has claimed it, so the holder has released it.
            fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
            fixture_->advance(milliseconds(800));
            CPPUNIT_ASSERT(expected == 1 || !fixture_->take_actions<claim_cell>().empty());
        }
    }

    void a_fenced_holder_drops_the_cell()
    {
        start_single_run();
        const start_run it = started_run_;
        fixture_->deliver(start_answered{it.to.id, it.run, start_result::fenced});
        CPPUNIT_ASSERT(fixture_->board().held_cells.empty());
        CPPUNIT_ASSERT(fixture_->board().sessions.empty());
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::interrupted);
    }

    void a_holder_keeps_starting_runs_without_the_store()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
        fixture_->deliver(store_lost{});
        fixture_->advance(std::chrono::seconds(5));
        fixture_->deliver_report("w-1", {});
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void a_lapsed_claim_is_renewed_with_a_higher_token()
    {
        fixture_->acquire_cell(7);
        fixture_->add_worker("w-1");
        fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
        fixture_->advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<claim_cell>().size());
        fixture_->deliver(
            claim_answered{job_fixture::own_cell(), claim_result::granted, store_revision(12)});
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"));
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, starts[0].to.token.value());
    }

    void a_report_call_fenced_by_the_own_newer_token_is_repeated()
    {
        start_single_run();
        fixture_->advance(milliseconds(50));
        const auto report_calls = fixture_->take_actions<fetch_report>();
        CPPUNIT_ASSERT(!report_calls.empty() && report_calls.back().long_poll);
        fixture_->deliver(claim_unlisted{job_fixture::own_cell()});
        fixture_->deliver(
            claim_answered{job_fixture::own_cell(), claim_result::granted, store_revision(12)});
        fixture_->deliver(report_failed{report_calls.back().to.id, report_calls.back().to.token,
                                        call_failure::fenced, fixture_->now(), true});
        fixture_->advance(milliseconds(50));
        const auto repeated_calls = fixture_->take_actions<fetch_report>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated_calls.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, repeated_calls[0].to.token.value());
    }

    void workers_are_released_as_their_runs_end()
    {
        start_single_run();
        fixture_->add_worker("w-2");
        fixture_->deliver(peer_connected{other_host, other_incarnation});
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = other_host,
                                        .incarnation = other_incarnation,
                                        .revision = store_revision(20)}});
        const auto first_release = fixture_->take_actions<release_worker>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first_release.size());
        CPPUNIT_ASSERT(first_release[0].id != started_run_.to.id);
        fixture_->report_run_end(started_run_, run_outcome::done);
        const auto second_release = fixture_->take_actions<release_worker>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second_release.size());
        CPPUNIT_ASSERT(second_release[0].to == other_host);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::succeeded);
    }

    void a_new_holder_waits_for_the_release_of_workers()
    {
        list_other_holder(true);
        fixture_->deliver(host_listed{{.host = other_host,
                                       .zone = zone_name("zone-a"),
                                       .incarnation = other_incarnation,
                                       .leaving = true}});
        fixture_->deliver(worker_listed{job_fixture::make_worker("w-1")});
        fixture_->advance(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<claim_cell>().size());
        fixture_->deliver(
            claim_answered{job_fixture::own_cell(), claim_result::granted, store_revision(9)});
        CPPUNIT_ASSERT(fixture_->take_actions<fetch_report>().empty());
        fixture_->deliver(worker_released{worker_id("w-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<fetch_report>().size());
    }

    void workers_unlisted_after_a_store_outage_get_time_to_relist()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->deliver(store_lost{});
        fixture_->deliver(store_reached{});
        fixture_->deliver(worker_unlisted{worker_id("w-1")});
        fixture_->advance(std::chrono::seconds(2));
        CPPUNIT_ASSERT(fixture_->board().workers.contains(worker_id("w-1")));
        fixture_->advance(milliseconds(400));
        CPPUNIT_ASSERT(!fixture_->board().workers.contains(worker_id("w-1")));
    }

    void a_run_that_this_host_did_not_start_is_stopped()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        worker_report report;
        report.running.push_back({.run = {.job = job_id("00000000000000c1"), .number = 1}});
        fixture_->deliver_report("w-1", report);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
    }

    void the_run_of_an_unlisted_worker_that_answers_goes_on()
    {
        start_single_run(std::chrono::seconds(3));
        fixture_->add_worker("w-2");
        fixture_->deliver(worker_unlisted{started_run_.to.id});
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(!fixture_->board().workers.contains(started_run_.to.id));
        CPPUNIT_ASSERT(fixture_->board().sessions.find(started_run_.to.id)->report_pending);
        for (std::uint32_t percent = 10; percent < 100; percent += 10) {
            fixture_->advance(milliseconds(150));
            fixture_->take_actions<fetch_report>();
            worker_report report;
            report.running.push_back({.run = started_run_.run, .progress_percent = percent});
            fixture_->deliver_report(started_run_.to.id.text(), report, true);
            fixture_->advance(milliseconds(10));
            const auto calls = fixture_->take_actions<fetch_report>();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.size());
            CPPUNIT_ASSERT(calls[0].lease_until);
            CPPUNIT_ASSERT(calls[0].to.address == job_fixture::make_worker("w-1").address);
        }
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->report_run_end(started_run_, run_outcome::done);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::succeeded);
        fixture_->advance(milliseconds(20));
        fixture_->deliver_report(started_run_.to.id.text(), {}, true); // the end is acknowledged
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(!fixture_->board().sessions.contains(started_run_.to.id));
    }

    void the_run_of_an_unlisted_silent_worker_restarts_after_its_lease()
    {
        start_single_run(std::chrono::seconds(3));
        fixture_->add_worker("w-2");
        fixture_->deliver(worker_unlisted{started_run_.to.id});
        fixture_->advance(milliseconds(20));
        const time_point last_lease =
            fixture_->board().sessions.find(started_run_.to.id)->lease_expired_by;
        fixture_->deliver(
            report_failed{started_run_.to.id, {}, call_failure::timed_out, fixture_->now(), true});
        fixture_->advance(last_lease - fixture_->now() - milliseconds(20));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->advance(milliseconds(100));
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        CPPUNIT_ASSERT(starts[0].to.id == worker_id("w-2"));
    }

  private:
    void list_own_host()
    {
        fixture_->configure(1);
        fixture_->deliver(store_reached{});
        fixture_->deliver(host_listed{{.host = host_name("entry-1"),
                                       .zone = zone_name("zone-a"),
                                       .incarnation = incarnation_id(1)}});
    }

    void list_other_holder(bool linked, std::int64_t cpu_millis = 0)
    {
        list_own_host();
        fixture_->deliver(host_listed{{.host = other_host,
                                       .zone = zone_name("zone-a"),
                                       .incarnation = other_incarnation,
                                       .cpu_millis = cpu_millis}});
        if (linked) {
            fixture_->deliver(peer_connected{other_host, other_incarnation});
        }
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = other_host,
                                        .incarnation = other_incarnation,
                                        .revision = store_revision(3)}});
        fixture_->take_actions<claim_cell>();
    }

    /// @param wait time between the start of the host and that of the run
    void start_single_run(duration wait = {})
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->advance(wait);
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"));
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        started_run_ = starts[0];
        fixture_->accept_start(started_run_);
    }

    std::unique_ptr<job_fixture> fixture_;
    start_run started_run_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_cells_test);

} // namespace

} // namespace papayafall::jobs
