#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

class job_dispatch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_dispatch_test);
    CPPUNIT_TEST(a_job_is_answered_when_all_tasks_are_done);
    CPPUNIT_TEST(steps_wait_for_those_before_them);
    CPPUNIT_TEST(a_job_fails_when_a_task_has_used_its_attempts);
    CPPUNIT_TEST(a_second_attempt_goes_to_another_worker);
    CPPUNIT_TEST(an_unanswered_start_is_stopped_before_the_task_runs_elsewhere);
    CPPUNIT_TEST(an_unreachable_worker_is_waited_out);
    CPPUNIT_TEST(a_crashed_worker_frees_its_tasks_at_once);
    CPPUNIT_TEST(a_reborn_worker_runs_nothing_of_before);
    CPPUNIT_TEST(a_start_that_reached_the_next_life_of_a_worker_goes_on);
    CPPUNIT_TEST(a_refused_connection_says_nothing_of_later_orders);
    CPPUNIT_TEST(a_stalled_run_is_stopped_and_started_elsewhere);
    CPPUNIT_TEST(a_caller_that_leaves_has_its_runs_stopped);
    CPPUNIT_TEST(a_lost_delegating_link_stops_its_jobs);
    CPPUNIT_TEST(a_resubmitted_job_waits_until_the_former_runs_are_over);
    CPPUNIT_TEST(an_end_of_the_same_name_elsewhere_changes_nothing);
    CPPUNIT_TEST(a_draining_worker_gets_nothing_new);
    CPPUNIT_TEST(a_job_without_room_is_refused_early);
    CPPUNIT_TEST(a_waiting_job_is_given_up_with_its_caller);
    CPPUNIT_TEST(kinds_that_are_not_served_are_refused);
    CPPUNIT_TEST(a_dropped_queue_of_a_forwarded_job_is_unknown);
    CPPUNIT_TEST(a_suspended_process_gives_up_what_it_held);
    CPPUNIT_TEST(open_calls_are_answered_when_the_stop_is_due);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        fixture_->add_worker("w-2");
        fixture_->take<fetch_report>();
    }

    void a_job_is_answered_when_all_tasks_are_done()
    {
        const auto starts = submit(1, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
        for (const start_run& it : starts) {
            CPPUNIT_ASSERT(fixture_->take<answer_job>().empty());
            fixture_->accept(it);
            fixture_->end(it, run_outcome::done);
        }
        expect_answer(job_outcome::succeeded);
        CPPUNIT_ASSERT(fixture_->board().jobs.empty());
        CPPUNIT_ASSERT(fixture_->board().tasks.empty());
        CPPUNIT_ASSERT(fixture_->board().loads.empty());
    }

    void steps_wait_for_those_before_them()
    {
        job_spec_fields it = *job_fixture::job("00000000000000a1");
        it.steps.push_back(it.steps.front());
        it.steps.back().predecessors = {0};
        fixture_->submit(1, it);
        const auto first = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        fixture_->accept(first[0]);
        fixture_->end(first[0], run_outcome::done);
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, second[0].run.step);
    }

    void a_job_fails_when_a_task_has_used_its_attempts()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->end(first[0], run_outcome::failed);
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].run.number > first[0].run.number);
        fixture_->accept(second[0]);
        fixture_->end(second[0], run_outcome::failed);
        expect_answer(job_outcome::failed);
    }

    void a_second_attempt_goes_to_another_worker()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->end(first[0], run_outcome::failed);
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void an_unanswered_start_is_stopped_before_the_task_runs_elsewhere()
    {
        const auto first = submit(1, 1);
        fixture_->deliver(start_answered{first[0].to.id, first[0].run, start_result::unanswered});
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        const auto stops = fixture_->take<stop_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(stops[0].run == first[0].run);
        fixture_->deliver(stop_answered{first[0].to.id, first[0].run, true});
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        // A report that was asked for after the stop took effect does not show the run.
        fixture_->pass(milliseconds(60));
        fixture_->report(first[0].to.id.text(), {});
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void an_unreachable_worker_is_waited_out()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        const time_point asked = fixture_->now();
        fixture_->deliver(report_failed{first[0].to.id, first[0].to.token, call_failure::timed_out,
                                        fixture_->now(), true});
        fixture_->pass(milliseconds(900));
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        fixture_->pass(milliseconds(500));
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(fixture_->now() - asked > fixture_->board().parameters.longest_lease);
    }

    void a_crashed_worker_frees_its_tasks_at_once()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->pass(milliseconds(10));
        fixture_->deliver(report_failed{first[0].to.id, first[0].to.token, call_failure::connection_refused,
                                        fixture_->now(), true});
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void a_reborn_worker_runs_nothing_of_before()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->pass(milliseconds(10));
        fixture_->report(first[0].to.id.text(), {.started_at_ms = 2000}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<start_run>().size());
    }

    void a_start_that_reached_the_next_life_of_a_worker_goes_on()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->pass(milliseconds(10));
        worker_report told{.started_at_ms = 2000};
        told.running.push_back({.run = first[0].run});
        fixture_->report(first[0].to.id.text(), told, true);
        CPPUNIT_ASSERT(fixture_->board().runs.contains(first[0].run));
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
    }

    void a_refused_connection_says_nothing_of_later_orders()
    {
        const time_point asked = fixture_->now();
        fixture_->pass(milliseconds(10));
        const auto first = submit(1, 1);
        fixture_->deliver(
            report_failed{first[0].to.id, first[0].to.token, call_failure::connection_refused, asked, true});
        CPPUNIT_ASSERT(fixture_->board().runs.contains(first[0].run));
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
    }

    void a_stalled_run_is_stopped_and_started_elsewhere()
    {
        const auto first = submit(1, 1);
        fixture_->accept(first[0]);
        fixture_->pass(milliseconds(250));
        fixture_->take<stop_run>();
        worker_report still;
        still.running.push_back({.run = first[0].run, .progress_percent = 0});
        fixture_->report(first[0].to.id.text(), still, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_run>().size());
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        fixture_->end(first[0], run_outcome::stopped);
        const auto second = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void a_caller_that_leaves_has_its_runs_stopped()
    {
        const auto starts = submit(1, 2);
        fixture_->accept(starts[0]);
        fixture_->accept(starts[1]);
        fixture_->deliver(call_abandoned{call_id(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take<stop_run>().size());
        fixture_->end(starts[0], run_outcome::stopped);
        fixture_->end(starts[1], run_outcome::stopped);
        CPPUNIT_ASSERT(fixture_->take<answer_job>().empty());
        CPPUNIT_ASSERT(fixture_->board().jobs.empty());
        CPPUNIT_ASSERT(fixture_->board().calls.empty());
    }

    void a_lost_delegating_link_stops_its_jobs()
    {
        const job_origin origin{.link = link_number(3), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{origin, order("00000000000000b1", 1)});
        const auto starts = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        fixture_->deliver(delegator_lost{link_number(3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_run>().size());
    }

    void a_resubmitted_job_waits_until_the_former_runs_are_over()
    {
        const job_origin first{.link = link_number(3), .delegation = delegation_id(1)};
        const job_origin second{.link = link_number(4), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{first, order("00000000000000b1", 1)});
        const auto starts = fixture_->take<start_run>();
        fixture_->accept(starts[0]);
        fixture_->deliver(delegation_received{second, order("00000000000000b1", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_run>().size());
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
        fixture_->end(starts[0], run_outcome::stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<start_run>().size());
    }

    void an_end_of_the_same_name_elsewhere_changes_nothing()
    {
        fixture_->hold_cell();
        fixture_->add_worker("w-1");
        fixture_->submit(1, job_fixture::job("00000000000000a1"));
        const auto starts = fixture_->take<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        fixture_->accept(starts[0]);
        fixture_->add_worker("w-2");
        worker_report told;
        told.ended.push_back({.sequence = 1, .run = starts[0].run, .outcome = run_outcome::lease_expired});
        fixture_->report("w-2", told);
        CPPUNIT_ASSERT(fixture_->board().runs.contains(starts[0].run));
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
    }

    void a_draining_worker_gets_nothing_new()
    {
        for (const char* it : {"w-1", "w-2"}) {
            worker_fields leaving = job_fixture::worker(it);
            leaving.draining = true;
            fixture_->deliver(worker_listed{leaving});
        }
        CPPUNIT_ASSERT(submit(1, 1).empty());
    }

    void a_job_without_room_is_refused_early()
    {
        for (std::uint64_t n = 1; n <= 12; ++n) {
            submit(n, 4);
        }
        fixture_->pass(milliseconds(80));
        const auto answers = fixture_->take<answer_job>();
        CPPUNIT_ASSERT(!answers.empty());
        for (const answer_job& it : answers) {
            CPPUNIT_ASSERT(it.outcome == job_outcome::refused);
            CPPUNIT_ASSERT(it.retry_at > fixture_->now());
        }
    }

    void a_waiting_job_is_given_up_with_its_caller()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, submit(1, 4).size());
        const time_point now = fixture_->now();
        fixture_->deliver(job_submitted{call_id(2), "desk.example", "/check/00000000000000b1",
                                        job_fixture::job("00000000000000b1"), now,
                                        now + milliseconds(100)});
        fixture_->pass(milliseconds(80));
        CPPUNIT_ASSERT(fixture_->take<answer_job>().empty());
        fixture_->pass(milliseconds(40));
        expect_answer(job_outcome::refused);
    }

    void kinds_that_are_not_served_are_refused()
    {
        job_spec_fields it = *job_fixture::job("00000000000000a1");
        it.options.best_effort = false;
        fixture_->submit(1, it);
        expect_answer(job_outcome::unsupported);
        it.options.best_effort = true;
        it.steps.front().gang = true;
        fixture_->submit(2, it);
        expect_answer(job_outcome::unsupported);
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
    }

    void a_dropped_queue_of_a_forwarded_job_is_unknown()
    {
        queue_configuration_fields none{.version = 5};
        fixture_->deliver(configuration_read{none});
        const job_origin origin{.link = link_number(3), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{origin, order("00000000000000b1", 1)});
        const auto answers = fixture_->take<answer_delegation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::unknown_queue);
        // An older configuration that is read late changes nothing.
        fixture_->configure(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, (*fixture_->board().queues)->version);
    }

    void a_suspended_process_gives_up_what_it_held()
    {
        const auto starts = submit(1, 1);
        fixture_->accept(starts[0]);
        fixture_->deliver(process_resumed{std::chrono::seconds(3)});
        expect_answer(job_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_run>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<close_links>().size());
        CPPUNIT_ASSERT(fixture_->take<start_run>().empty());
    }

    void open_calls_are_answered_when_the_stop_is_due()
    {
        const auto starts = submit(1, 1);
        fixture_->accept(starts[0]);
        fixture_->deliver(stop_requested{fixture_->now() + milliseconds(500)});
        CPPUNIT_ASSERT(!*fixture_->board().ready);
        fixture_->pass(milliseconds(600));
        expect_answer(job_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take<stop_dispatcher>().size());
    }

  private:
    std::vector<start_run> submit(std::uint64_t call, std::uint32_t tasks)
    {
        const std::string id =
            "00000000000000a" + std::to_string(call % 10) + (call < 10 ? "" : "f");
        fixture_->submit(call, job_fixture::job(id, tasks));
        return fixture_->take<start_run>();
    }

    job_order order(const std::string& id, std::uint32_t tasks)
    {
        const time_point now = fixture_->now();
        return job_order_fields{.job = job_fixture::job(id, tasks),
                                .queue = queue_name("check"),
                                .service = service_name("desk"),
                                .configuration_version = 1,
                                .max_attempts = 2,
                                .received_at = now,
                                .objective_deadline = now + milliseconds(300),
                                .expires_at = now + milliseconds(900)};
    }

    void expect_answer(job_outcome outcome)
    {
        const auto answers = fixture_->take<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(outcome)),
                             std::string(to_string(answers[0].outcome)));
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_dispatch_test);

} // namespace

} // namespace papayafall::jobs
