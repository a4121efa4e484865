#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <memory>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

/// Runs on workers that are silent, refuse connections or have restarted.
class unreachable_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unreachable_workers_test);
    CPPUNIT_TEST(an_unanswered_start_is_stopped_before_the_task_restarts_elsewhere);
    CPPUNIT_TEST(a_task_on_an_unreachable_worker_restarts_after_its_lease_has_lapsed);
    CPPUNIT_TEST(a_task_on_a_worker_that_refuses_connections_waits_for_its_lease);
    CPPUNIT_TEST(a_run_goes_on_when_a_worker_that_refused_connections_reports_it);
    CPPUNIT_TEST(a_run_that_a_restarted_worker_does_not_report_restarts);
    CPPUNIT_TEST(a_run_that_a_restarted_worker_reports_continues);
    CPPUNIT_TEST(a_refused_connection_does_not_end_runs_started_later);
    CPPUNIT_TEST(a_worker_that_refuses_a_start_gets_no_other_before_it_reports);
    CPPUNIT_TEST(a_worker_with_another_process_gets_no_runs_before_it_reports);
    CPPUNIT_TEST(a_restarted_worker_gets_no_runs_by_the_entry_of_its_former_process);
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

    void an_unanswered_start_is_stopped_before_the_task_restarts_elsewhere()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->deliver(start_answered{first[0].to.id, first[0].run, start_result::unanswered});
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        const auto stops = fixture_->take_actions<stop_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(stops[0].run == first[0].run);
        fixture_->deliver(stop_answered{first[0].to.id, first[0].run, true});
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        // A report requested after the stop has taken effect shows that the run has ended.
        fixture_->advance(milliseconds(60));
        fixture_->deliver_report(first[0].to.id.text(), {});
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first[0].to.id);
    }

    void a_task_on_an_unreachable_worker_restarts_after_its_lease_has_lapsed()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->deliver(report_failed{first[0].to.id, first[0].to.token, call_failure::timed_out,
                                        fixture_->now(), true});
        expect_restart_after_lease(first[0]);
    }

    // Guards against two concurrent runs of a task: a worker that was cut off refused connections
    // and went on, and its tasks were started elsewhere.
    void a_task_on_a_worker_that_refuses_connections_waits_for_its_lease()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(10));
        refuse_connection(first[0]);
        fixture_->advance(milliseconds(300));
        refuse_connection(first[0]);
        CPPUNIT_ASSERT(fixture_->board().runs.contains(first[0].run));
        expect_restart_after_lease(first[0]);
    }

    void a_run_goes_on_when_a_worker_that_refused_connections_reports_it()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(10));
        refuse_connection(first[0]);
        fixture_->advance(milliseconds(400));
        worker_report report;
        report.running.push_back({.run = first[0].run, .progress_percent = 50});
        fixture_->deliver_report(first[0].to.id.text(), report);
        fixture_->advance(milliseconds(500));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->report_run_end(first[0], run_outcome::done);
        expect_single_answer(job_outcome::succeeded);
    }

    void a_run_that_a_restarted_worker_does_not_report_restarts()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(10));
        fixture_->deliver_report(first[0].to.id.text(), {.started_at_ms = 2000}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

    void a_run_that_a_restarted_worker_reports_continues()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->accept_start(first[0]);
        fixture_->advance(milliseconds(10));
        worker_report report{.started_at_ms = 2000};
        report.running.push_back({.run = first[0].run});
        fixture_->deliver_report(first[0].to.id.text(), report, true);
        CPPUNIT_ASSERT(fixture_->board().runs.contains(first[0].run));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_refused_connection_does_not_end_runs_started_later()
    {
        const time_point sent_at = fixture_->now();
        fixture_->advance(milliseconds(10));
        const auto first = fixture_->submit_and_take_starts(1, 1);
        fixture_->deliver(report_failed{first[0].to.id, first[0].to.token,
                                        call_failure::connection_refused, sent_at, true});
        CPPUNIT_ASSERT(fixture_->board().runs.contains(first[0].run));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    // Guards against orders to a restarted worker by what was known of its former process, and
    // against the same start again and again while nothing listens at the address.
    void a_worker_that_refuses_a_start_gets_no_other_before_it_reports()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        const worker_id refusing = first[0].to.id;
        fixture_->deliver(start_answered{refusing, first[0].run, start_result::connection_refused});
        job_spec_fields job = *job_fixture::make_job("00000000000000b2", 3);
        job.steps.front().estimated_run_time = std::chrono::seconds(5);
        fixture_->submit_job(2, job);
        fixture_->advance(milliseconds(300));
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            CPPUNIT_ASSERT(it.to.id != refusing);
        }
        fixture_->deliver_report(refusing.text(), {});
        fixture_->advance(milliseconds(300));
        const auto later = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT(!later.empty());
        CPPUNIT_ASSERT(later[0].to.id == refusing);
    }

    // Guards against tasks on a worker without the label that they require: a worker came back as
    // another kind, and was used by its former entry until the new one was read.
    // Guards against runs on a worker that was restarted unnoticed, by the labels and the capacity
    // of its former process.
    void a_worker_with_another_process_gets_no_runs_before_it_reports()
    {
        const auto first = fixture_->submit_and_take_starts(1, 1);
        CPPUNIT_ASSERT_EQUAL(job_fixture::make_worker("w-1").started_at_ms,
                             first.at(0).worker_started_at_ms);
        const worker_id& refusing = first[0].to.id;
        fixture_->deliver(start_answered{refusing, first[0].run, start_result::other_instance});
        fixture_->submit_job(2, job_fixture::make_job("00000000000000b1", 4));
        fixture_->advance(milliseconds(50));
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            CPPUNIT_ASSERT(it.to.id != refusing);
        }
        CPPUNIT_ASSERT(!fixture_->take_actions<fetch_report>().empty());
    }

    void a_restarted_worker_gets_no_runs_by_the_entry_of_its_former_process()
    {
        fixture_->acquire_cell();
        worker_fields entry = job_fixture::make_worker("w-1");
        entry.labels = {label_name("small")};
        fixture_->deliver(worker_listed{entry});
        fixture_->deliver_report("w-1", {});
        fixture_->deliver_report("w-1", {.started_at_ms = 2000});
        job_spec_fields job = *job_fixture::make_job("00000000000000a1");
        job.steps.front().required_label = label_name("small");
        job.steps.front().estimated_run_time = std::chrono::seconds(5);
        fixture_->submit_job(1, job);
        fixture_->advance(milliseconds(100));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        entry.started_at_ms = 2000;
        entry.labels = {label_name("large")};
        fixture_->deliver(worker_listed{entry});
        fixture_->advance(milliseconds(100));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        job.id = job_id("00000000000000b2");
        job.steps.front().required_label = label_name("large");
        fixture_->submit_job(2, job);
        fixture_->advance(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<start_run>().size());
    }

  private:
    /// Expects that the task starts on another worker, but not before the lease of its run has
    /// expired on the slowest clock that a worker may have.
    void expect_restart_after_lease(const start_run& first)
    {
        constexpr double slowest_clock_rate = 0.98;
        const worker_time now = fixture_->worker_clock();
        CPPUNIT_ASSERT(first.lease_until > now);
        const auto left = static_cast<double>(first.lease_until.milliseconds - now.milliseconds) /
                          slowest_clock_rate;
        fixture_->advance(milliseconds(static_cast<std::int64_t>(left)));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->advance(milliseconds(200));
        const auto second = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].to.id != first.to.id);
    }

    void refuse_connection(const start_run& it)
    {
        fixture_->deliver(report_failed{it.to.id, it.to.token, call_failure::connection_refused,
                                        fixture_->now(), true});
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

CPPUNIT_TEST_SUITE_REGISTRATION(unreachable_workers_test);

} // namespace

} // namespace papayafall::jobs
