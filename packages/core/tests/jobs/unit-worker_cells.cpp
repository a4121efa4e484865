#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

const host_name other_host("entry-2");
constexpr incarnation_id other_life(5);

class worker_cells_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_cells_test);
    CPPUNIT_TEST(an_unclaimed_cell_is_claimed);
    CPPUNIT_TEST(a_cell_of_a_living_holder_is_left_alone);
    CPPUNIT_TEST(a_cell_is_left_to_a_holder_that_is_listed_later);
    CPPUNIT_TEST(a_lapsed_claim_of_a_linked_holder_is_left_alone);
    CPPUNIT_TEST(a_cell_of_a_dead_holder_is_taken_over);
    CPPUNIT_TEST(a_restarted_host_takes_its_cell_back_at_once);
    CPPUNIT_TEST(a_cell_of_another_zone_is_left_to_its_own_hosts);
    CPPUNIT_TEST(runs_of_a_former_holder_are_stopped_before_a_lease_is_extended);
    CPPUNIT_TEST(a_stronger_host_asks_a_weak_holder_for_the_cell);
    CPPUNIT_TEST(an_equal_host_leaves_the_cell_to_its_holder);
    CPPUNIT_TEST(the_strongest_host_claims_first);
    CPPUNIT_TEST(a_fenced_holder_gives_the_cell_up);
    CPPUNIT_TEST(a_holder_without_the_store_goes_on);
    CPPUNIT_TEST(a_lapsed_claim_is_renewed_with_a_higher_token);
    CPPUNIT_TEST(a_report_that_the_own_new_token_fenced_is_asked_for_again);
    CPPUNIT_TEST(workers_go_over_as_their_runs_end);
    CPPUNIT_TEST(an_heir_waits_for_the_release);
    CPPUNIT_TEST(workers_that_vanish_with_the_store_get_time_to_return);
    CPPUNIT_TEST(an_unknown_run_is_stopped);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { fixture_ = std::make_unique<job_fixture>(); }

    void an_unclaimed_cell_is_claimed()
    {
        list_self();
        fixture_->pass(milliseconds(200));
        const auto claims = fixture_->take<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT(claims[0].cell == job_fixture::cell());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, claims[0].expected.value());
    }

    void a_cell_of_a_living_holder_is_left_alone()
    {
        other_holds(true);
        fixture_->pass(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
    }

    void a_cell_is_left_to_a_holder_that_is_listed_later()
    {
        list_self();
        fixture_->deliver(claim_listed{
            job_fixture::cell(),
            {.holder = other_host, .incarnation = other_life, .revision = store_revision(3)}});
        fixture_->pass(milliseconds(250));
        fixture_->deliver(host_listed{
            {.host = other_host, .zone = zone_name("zone-a"), .incarnation = other_life}});
        fixture_->pass(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
    }

    void a_lapsed_claim_of_a_linked_holder_is_left_alone()
    {
        other_holds(true);
        fixture_->deliver(claim_unlisted{job_fixture::cell()});
        fixture_->deliver(host_unlisted{other_host});
        fixture_->pass(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
    }

    void a_cell_of_a_dead_holder_is_taken_over()
    {
        other_holds(true);
        fixture_->deliver(peer_lost{other_host});
        fixture_->pass(std::chrono::seconds(3));
        CPPUNIT_ASSERT(
            fixture_->take<claim_cell>().empty()); // still listed: it may only be cut off
        fixture_->deliver(host_unlisted{other_host});
        fixture_->pass(std::chrono::seconds(1));
        const auto claims = fixture_->take<claim_cell>();
        CPPUNIT_ASSERT(!claims.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, claims[0].expected.value());
    }

    void a_restarted_host_takes_its_cell_back_at_once()
    {
        list_self();
        fixture_->deliver(claim_listed{job_fixture::cell(),
                                       {.holder = host_name("entry-1"),
                                        .incarnation = incarnation_id(0),
                                        .revision = store_revision(4)}});
        fixture_->pass(milliseconds(120));
        const auto claims = fixture_->take<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, claims[0].expected.value());
    }

    void a_cell_of_another_zone_is_left_to_its_own_hosts()
    {
        fixture_->hold_cell();
        worker_fields far = job_fixture::worker("w-9");
        far.zone = zone_name("zone-b");
        fixture_->deliver(worker_listed{far});
        fixture_->deliver(host_listed{
            {.host = other_host, .zone = zone_name("zone-b"), .incarnation = other_life}});
        fixture_->pass(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
        fixture_->deliver(host_unlisted{other_host});
        fixture_->pass(std::chrono::seconds(10));
        const auto claims = fixture_->take<claim_cell>();
        CPPUNIT_ASSERT(!claims.empty());
        CPPUNIT_ASSERT(claims[0].cell == cell_id("zone-b/0"));
    }

    void runs_of_a_former_holder_are_stopped_before_a_lease_is_extended()
    {
        fixture_->hold_cell();
        fixture_->deliver(worker_listed{job_fixture::worker("w-1")});
        const run_id stray{.job = job_id("00000000000000c1"), .number = 1};
        worker_report busy;
        busy.running.push_back({.run = stray});
        fixture_->report("w-1", busy);
        const auto stops = fixture_->take<stop_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(stops[0].run == stray);
        fixture_->submit(1, job_fixture::job("00000000000000a1"));
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        for (const fetch_report& it : fixture_->take<fetch_report>()) {
            CPPUNIT_ASSERT(!it.lease_until);
        }
        fixture_->report("w-1", {});
        fixture_->pass(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<start_run>().size());
    }

    void a_stronger_host_asks_a_weak_holder_for_the_cell()
    {
        other_holds(true, job_fixture::cpu_millis / 4);
        fixture_->pass(milliseconds(900));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
        fixture_->pass(milliseconds(300));
        const auto claims = fixture_->take<claim_cell>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, claims[0].expected.value());
    }

    void an_equal_host_leaves_the_cell_to_its_holder()
    {
        other_holds(true, job_fixture::cpu_millis);
        fixture_->pass(std::chrono::seconds(10));
        CPPUNIT_ASSERT(fixture_->take<claim_cell>().empty());
    }

    void the_strongest_host_claims_first()
    {
        for (const std::int64_t it : {job_fixture::cpu_millis / 2, job_fixture::cpu_millis * 2}) {
            setUp();
            fixture_->deliver(host_listed{{.host = other_host,
                                           .zone = zone_name("zone-a"),
                                           .incarnation = other_life,
                                           .cpu_millis = it}});
            list_self();
            fixture_->pass(milliseconds(250));
            const std::size_t expected = it < job_fixture::cpu_millis ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(expected, fixture_->take<claim_cell>().size());
        }
    }

    void a_fenced_holder_gives_the_cell_up()
    {
        start_one();
        const start_run it = started_;
        fixture_->deliver(start_answered{it.to.id, it.run, start_result::fenced});
        CPPUNIT_ASSERT(fixture_->board().cells.empty());
        CPPUNIT_ASSERT(fixture_->board().sessions.empty());
        const auto answers = fixture_->take<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::interrupted);
    }

    void a_holder_without_the_store_goes_on()
    {
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        fixture_->deliver(claim_unlisted{job_fixture::cell()});
        fixture_->deliver(store_lost{});
        fixture_->pass(std::chrono::seconds(5));
        fixture_->report("w-1", {});
        fixture_->submit(1, job_fixture::job("00000000000000a1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<start_run>().size());
    }

    void a_lapsed_claim_is_renewed_with_a_higher_token()
    {
        fixture_->hold_cell(7);
        fixture_->add_worker("w-1");
        fixture_->deliver(claim_unlisted{job_fixture::cell()});
        fixture_->pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<claim_cell>().size());
        fixture_->deliver(
            claim_answered{job_fixture::cell(), claim_result::granted, store_revision(12)});
        fixture_->submit(1, job_fixture::job("00000000000000a1"));
        const auto starts = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, starts[0].to.token.value());
    }

    void a_report_that_the_own_new_token_fenced_is_asked_for_again()
    {
        start_one();
        fixture_->pass(milliseconds(50));
        const auto asked = fixture_->take<fetch_report>();
        CPPUNIT_ASSERT(!asked.empty() && asked.back().long_poll);
        fixture_->deliver(claim_unlisted{job_fixture::cell()});
        fixture_->deliver(
            claim_answered{job_fixture::cell(), claim_result::granted, store_revision(12)});
        fixture_->deliver(report_failed{asked.back().to.id, asked.back().to.token,
                                        call_failure::fenced, fixture_->now(), true});
        fixture_->pass(milliseconds(50));
        const auto again = fixture_->take<fetch_report>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, again[0].to.token.value());
    }

    void workers_go_over_as_their_runs_end()
    {
        start_one();
        fixture_->add_worker("w-2");
        fixture_->deliver(peer_connected{other_host, other_life});
        fixture_->deliver(claim_listed{
            job_fixture::cell(),
            {.holder = other_host, .incarnation = other_life, .revision = store_revision(20)}});
        const auto first = fixture_->take<release_worker>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        CPPUNIT_ASSERT(first[0].id != started_.to.id);
        fixture_->end(started_, run_outcome::done);
        const auto second = fixture_->take<release_worker>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to == other_host);
        const auto answers = fixture_->take<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::succeeded);
    }

    void an_heir_waits_for_the_release()
    {
        other_holds(true);
        fixture_->deliver(host_listed{{.host = other_host,
                                       .zone = zone_name("zone-a"),
                                       .incarnation = other_life,
                                       .leaving = true}});
        fixture_->deliver(worker_listed{job_fixture::worker("w-1")});
        fixture_->pass(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<claim_cell>().size());
        fixture_->deliver(
            claim_answered{job_fixture::cell(), claim_result::granted, store_revision(9)});
        CPPUNIT_ASSERT(fixture_->take<fetch_report>().empty());
        fixture_->deliver(worker_released{worker_id("w-1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<fetch_report>().size());
    }

    void workers_that_vanish_with_the_store_get_time_to_return()
    {
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        fixture_->deliver(store_lost{});
        fixture_->deliver(store_reached{});
        fixture_->deliver(worker_unlisted{worker_id("w-1")});
        fixture_->pass(std::chrono::seconds(2));
        CPPUNIT_ASSERT(fixture_->board().workers.contains(worker_id("w-1")));
        fixture_->pass(milliseconds(400));
        CPPUNIT_ASSERT(!fixture_->board().workers.contains(worker_id("w-1")));
    }

    void an_unknown_run_is_stopped()
    {
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        worker_report busy;
        busy.running.push_back({.run = {.job = job_id("00000000000000c1"), .number = 1}});
        fixture_->report("w-1", busy);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_run>().size());
    }

  private:
    void list_self()
    {
        fixture_->configure(1);
        fixture_->deliver(store_reached{});
        fixture_->deliver(host_listed{{.host = host_name("entry-1"),
                                       .zone = zone_name("zone-a"),
                                       .incarnation = incarnation_id(1)}});
    }

    void other_holds(bool linked, std::int64_t cpu_millis = 0)
    {
        list_self();
        fixture_->deliver(host_listed{{.host = other_host,
                                       .zone = zone_name("zone-a"),
                                       .incarnation = other_life,
                                       .cpu_millis = cpu_millis}});
        if (linked) {
            fixture_->deliver(peer_connected{other_host, other_life});
        }
        fixture_->deliver(claim_listed{
            job_fixture::cell(),
            {.holder = other_host, .incarnation = other_life, .revision = store_revision(3)}});
        fixture_->take<claim_cell>();
    }

    void start_one()
    {
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        fixture_->submit(1, job_fixture::job("00000000000000a1"));
        const auto starts = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        started_ = starts[0];
        fixture_->accept(started_);
    }

    std::unique_ptr<job_fixture> fixture_;
    start_run started_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_cells_test);

} // namespace

} // namespace papayafall::jobs
