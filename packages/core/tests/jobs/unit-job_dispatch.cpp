#include "support/job_fixture.hpp"

#include "papayafall/core/jobs/controllers/peer_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

class job_dispatch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_dispatch_test);
    CPPUNIT_TEST(a_job_is_answered_when_all_tasks_are_done);
    CPPUNIT_TEST(steps_wait_for_their_predecessors);
    CPPUNIT_TEST(a_job_fails_when_a_task_has_used_up_its_attempts);
    CPPUNIT_TEST(a_failed_task_is_retried_on_another_worker);
    CPPUNIT_TEST(a_stalled_run_is_stopped_and_restarted_elsewhere);
    CPPUNIT_TEST(a_run_whose_report_arrives_late_is_not_stalled);
    CPPUNIT_TEST(the_runs_of_an_abandoned_call_are_stopped);
    CPPUNIT_TEST(a_stop_that_is_not_accepted_is_sent_again_after_a_pause);
    CPPUNIT_TEST(the_length_of_a_queue_is_unknown_without_a_configuration);
    CPPUNIT_TEST(the_runs_of_jobs_from_a_lost_link_are_stopped);
    CPPUNIT_TEST(a_resubmitted_job_waits_until_its_former_runs_have_ended);
    CPPUNIT_TEST(a_run_end_reported_by_another_worker_is_ignored);
    CPPUNIT_TEST(a_draining_worker_gets_no_new_runs);
    CPPUNIT_TEST(a_worker_whose_capacity_shrinks_gets_no_more_than_that);
    CPPUNIT_TEST(a_job_that_would_miss_its_objective_is_refused_early);
    CPPUNIT_TEST(a_waiting_job_is_refused_when_its_caller_stops_waiting);
    CPPUNIT_TEST(a_request_that_is_read_after_its_callers_deadline_is_not_run);
    CPPUNIT_TEST(the_runs_of_a_job_are_stopped_at_its_callers_deadline);
    CPPUNIT_TEST(unsupported_kinds_of_jobs_are_refused);
    CPPUNIT_TEST(a_delegated_job_of_a_removed_queue_is_answered_as_unknown_queue);
    CPPUNIT_TEST(a_resumed_process_interrupts_its_jobs);
    CPPUNIT_TEST(open_calls_are_answered_at_the_stop_deadline);
    CPPUNIT_TEST(a_request_after_the_last_answers_is_refused);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->add_worker("w-2");
        fixture_->take_actions<fetch_report>();
    }

    void a_job_is_answered_when_all_tasks_are_done()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
        for (const start_run& it : starts) {
            CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
            fixture_->accept_start(it);
            fixture_->report_run_end(it, run_outcome::done);
        }
        expect_single_answer(job_outcome::succeeded);
        CPPUNIT_ASSERT(fixture_->board().jobs.empty());
        CPPUNIT_ASSERT(fixture_->board().tasks.empty());
        CPPUNIT_ASSERT(fixture_->board().worker_loads.empty());
    }

    void steps_wait_for_their_predecessors()
    {
        job_spec_fields it = *job_fixture::make_job("00000000000000a1");
        it.steps.push_back(it.steps.front());
        it.steps.back().predecessors = {0};
        fixture_->submit_job(1, it);
        const auto first = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        fixture_->accept_start(first[0]);
        fixture_->report_run_end(first[0], run_outcome::done);
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, second[0].run.step);
    }

    void a_job_fails_when_a_task_has_used_up_its_attempts()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->report_run_end(first[0], run_outcome::failed);
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].run.number > first[0].run.number);
        fixture_->accept_start(second[0]);
        fixture_->report_run_end(second[0], run_outcome::failed);
        expect_single_answer(job_outcome::failed);
    }

    void a_failed_task_is_retried_on_another_worker()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->report_run_end(first[0], run_outcome::failed);
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void a_stalled_run_is_stopped_and_restarted_elsewhere()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(250));
        fixture_->take_actions<stop_run>();
        worker_report stalled_report;
        stalled_report.running.push_back({.run = first[0].run, .progress_percent = 0});
        fixture_->deliver_report(first[0].to.id.text(), stalled_report, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->report_run_end(first[0], run_outcome::stopped);
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void a_run_whose_report_arrives_late_is_not_stalled()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(150));
        worker_report report{.clock = fixture_->worker_clock()};
        report.running.push_back({.run = first[0].run, .progress_percent = 3});
        fixture_->deliver_report(first[0].to.id.text(), report, true);
        // Made 10 ms after the first one, and delayed on its way.
        report.clock = report.clock + milliseconds(10);
        fixture_->advance(milliseconds(400));
        fixture_->deliver_report(first[0].to.id.text(), report, true);
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
        report.clock = report.clock + milliseconds(300);
        fixture_->deliver_report(first[0].to.id.text(), report, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
    }

    void the_runs_of_an_abandoned_call_are_stopped()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 2);
        fixture_->accept_start(starts[0]);
        fixture_->accept_start(starts[1]);
        fixture_->deliver(call_abandoned{call_id(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take_actions<stop_run>().size());
        fixture_->report_run_end(starts[0], run_outcome::stopped);
        fixture_->report_run_end(starts[1], run_outcome::stopped);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        CPPUNIT_ASSERT(fixture_->board().jobs.empty());
        CPPUNIT_ASSERT(fixture_->board().calls.empty());
    }

    // Guards against a flood of calls to a worker that refuses each stop at once.
    void a_stop_that_is_not_accepted_is_sent_again_after_a_pause()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(starts[0]);
        fixture_->deliver(call_abandoned{call_id(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
        fixture_->deliver(stop_answered{starts[0].to.id, starts[0].run, false});
        fixture_->advance(milliseconds(10));
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
        fixture_->advance(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
        fixture_->advance(milliseconds(100)); // the second one is not answered yet
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
        fixture_->deliver(stop_answered{starts[0].to.id, starts[0].run, true});
        fixture_->advance(milliseconds(100));
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
    }

    void the_length_of_a_queue_is_unknown_without_a_configuration()
    {
        job_fixture unconfigured;
        unconfigured.deliver(queue_length_requested{call_id(1), "desk.example", "/check/"});
        fixture_->deliver(queue_length_requested{call_id(1), "desk.example", "/other/"});
        fixture_->deliver(queue_length_requested{call_id(2), "desk.example", "/check/"});
        const auto before = unconfigured.take_actions<answer_queue_length>();
        const auto after = fixture_->take_actions<answer_queue_length>();
        CPPUNIT_ASSERT(before.at(0).status == queue_length_status::no_configuration);
        CPPUNIT_ASSERT(after.at(0).status == queue_length_status::unknown_queue);
        CPPUNIT_ASSERT(after.at(1).status == queue_length_status::known);
    }

    void the_runs_of_jobs_from_a_lost_link_are_stopped()
    {
        const job_origin origin{.link = link_number(3), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{origin, make_order("00000000000000b1", 1)});
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        fixture_->deliver(delegator_lost{link_number(3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
    }

    void a_resubmitted_job_waits_until_its_former_runs_have_ended()
    {
        const job_origin first{.link = link_number(3), .delegation = delegation_id(1)};
        const job_origin second{.link = link_number(4), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{first, make_order("00000000000000b1", 1)});
        const auto starts = fixture_->take_actions<start_run>();
        fixture_->accept_start(starts[0]);
        fixture_->deliver(delegation_received{second, make_order("00000000000000b1", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->report_run_end(starts[0], run_outcome::stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void a_run_end_reported_by_another_worker_is_ignored()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"));
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        fixture_->accept_start(starts[0]);
        fixture_->add_worker("w-2");
        worker_report report;
        report.ended.push_back(
            {.sequence = 1, .run = starts[0].run, .outcome = run_outcome::lease_expired});
        fixture_->deliver_report("w-2", report);
        CPPUNIT_ASSERT(fixture_->board().runs.contains(starts[0].run));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_draining_worker_gets_no_new_runs()
    {
        for (const char* it : {"w-1", "w-2"}) {
            worker_fields draining_worker = job_fixture::make_worker(it);
            draining_worker.draining = true;
            fixture_->deliver(worker_listed{draining_worker});
        }
        CPPUNIT_ASSERT(fixture_->submit_and_take_starts(1, 1).empty());
    }

    // Guards against runs beyond the capacity of a worker: it may shrink and grow while the worker
    // has runs, and a run that is being stopped still occupies its share.
    void a_worker_whose_capacity_shrinks_gets_no_more_than_that()
    {
        list_with_capacity("w-2", 0);
        const auto first = fixture_->submit_and_take_starts(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        fixture_->accept_start(first[0]);
        fixture_->accept_start(first[1]);
        list_with_capacity("w-1", 40'000);
        CPPUNIT_ASSERT(own_load(fixture_->board()).free_cpu_millis < 0);
        fixture_->submit_job(2, job_fixture::make_job("00000000000000b2"));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->deliver(call_abandoned{call_id(1)});
        for (const start_run& it : first) {
            fixture_->deliver(stop_answered{it.to.id, it.run, true});
        }
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        worker_report report;
        report.running.push_back({.run = first[1].run});
        report.ended.push_back(
            {.sequence = 1, .run = first[0].run, .outcome = run_outcome::stopped});
        fixture_->deliver_report("w-1", report, true);
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty()); // 27,000 and 27,000 of 40,000
        list_with_capacity("w-1", 54'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void a_job_that_would_miss_its_objective_is_refused_early()
    {
        for (std::uint64_t n = 1; n <= 12; ++n) {
            fixture_->submit_and_take_starts(n, 4);
        }
        fixture_->advance(milliseconds(80));
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT(!answers.empty());
        for (const answer_job& it : answers) {
            CPPUNIT_ASSERT(it.outcome == job_outcome::refused);
            CPPUNIT_ASSERT(it.retry_at > fixture_->now());
        }
    }

    void a_waiting_job_is_refused_when_its_caller_stops_waiting()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture_->submit_and_take_starts(1, 4).size());
        const time_point now = fixture_->now();
        fixture_->deliver(job_submitted{call_id(2), "desk.example", "/check/00000000000000b1",
                                        job_fixture::make_job("00000000000000b1"), now,
                                        now + milliseconds(100)});
        fixture_->advance(milliseconds(80));
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        fixture_->advance(milliseconds(40));
        expect_single_answer(job_outcome::refused);
    }

    // Guards against two concurrent runs of a task: a host that did not run for seconds started the
    // jobs that had arrived meanwhile, and that their callers had submitted elsewhere.
    void a_request_that_is_read_after_its_callers_deadline_is_not_run()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        job_spec_fields job = *job_fixture::make_job("00000000000000a1");
        job.steps.front().estimated_run_time = std::chrono::seconds(5); // the objective is far away
        const time_point received_at = fixture_->now() - std::chrono::seconds(3);
        fixture_->deliver(job_submitted{call_id(1), "desk.example", "/check/00000000000000a1", job,
                                        received_at, received_at + milliseconds(1500)});
        expect_single_answer(job_outcome::refused);
        fixture_->advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    // Guards against two concurrent runs of a task: the end of a caller's connection was lost on
    // its way, and the job went on after the caller had submitted it elsewhere.
    void the_runs_of_a_job_are_stopped_at_its_callers_deadline()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 1, milliseconds(1500));
        fixture_->accept_start(starts[0]);
        fixture_->advance(milliseconds(1490));
        CPPUNIT_ASSERT(fixture_->take_actions<stop_run>().empty());
        fixture_->advance(milliseconds(100));
        expect_single_answer(job_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
    }

    void unsupported_kinds_of_jobs_are_refused()
    {
        job_spec_fields it = *job_fixture::make_job("00000000000000a1");
        it.options.best_effort = false;
        fixture_->submit_job(1, it);
        expect_single_answer(job_outcome::unsupported);
        it.options.best_effort = true;
        it.steps.front().gang = true;
        fixture_->submit_job(2, it);
        expect_single_answer(job_outcome::unsupported);
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_delegated_job_of_a_removed_queue_is_answered_as_unknown_queue()
    {
        queue_configuration_fields none{.version = 5};
        fixture_->deliver(configuration_read{none, {}});
        const job_origin origin{.link = link_number(3), .delegation = delegation_id(1)};
        fixture_->deliver(delegation_received{origin, make_order("00000000000000b1", 1)});
        const auto answers = fixture_->take_actions<answer_delegation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::unknown_queue);
        // An older configuration that is read late is ignored.
        fixture_->configure(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, (*fixture_->board().configuration)->version);
    }

    void a_resumed_process_interrupts_its_jobs()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(starts[0]);
        fixture_->deliver(process_resumed{std::chrono::seconds(3)});
        expect_single_answer(job_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_run>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<close_links>().size());
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void open_calls_are_answered_at_the_stop_deadline()
    {
        const auto starts = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(starts[0]);
        fixture_->deliver(stop_requested{fixture_->now() + milliseconds(500)});
        CPPUNIT_ASSERT(!*fixture_->board().published_readiness);
        fixture_->advance(milliseconds(600));
        expect_single_answer(job_outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_dispatcher>().size());
    }

    // Guards against requests that were started and never answered: they came on kept connections
    // in the last moments before the end of the process.
    void a_request_after_the_last_answers_is_refused()
    {
        fixture_->deliver(stop_requested{fixture_->now() + milliseconds(500)});
        fixture_->advance(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<stop_dispatcher>().size());
        fixture_->deliver(peer_connected{host_name("entry-2"), incarnation_id(1)});
        const auto starts = fixture_->submit_and_take_starts(1, 1);
        CPPUNIT_ASSERT(starts.empty());
        CPPUNIT_ASSERT(fixture_->take_actions<delegate_job>().empty());
        expect_single_answer(job_outcome::refused);
    }

  private:
    void list_with_capacity(const std::string& id, std::int64_t cpu_millis)
    {
        worker_fields it = job_fixture::make_worker(id);
        it.capacity.cpu_millis = cpu_millis;
        fixture_->deliver(worker_listed{it});
    }

    job_order make_order(const std::string& id, std::uint32_t tasks)
    {
        const time_point now = fixture_->now();
        return job_order_fields{.job = job_fixture::make_job(id, tasks),
                                .queue = queue_name("check"),
                                .service = service_name("desk"),
                                .configuration_version = 1,
                                .max_attempts = 2,
                                .received_at = now,
                                .objective_deadline = now + milliseconds(300),
                                .expires_at = now + milliseconds(900)};
    }

    void expect_single_answer(job_outcome outcome)
    {
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(outcome)),
                             std::string(to_string(answers[0].outcome)));
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_dispatch_test);

} // namespace

} // namespace papayafall::jobs
