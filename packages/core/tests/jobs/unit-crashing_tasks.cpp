#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::job_fixture;

constexpr const char* first_job = "00000000000000a1";
constexpr const char* second_job = "00000000000000b2";

/// Tasks that crash the workers that start them, and tasks that only seem to.
class crashing_tasks_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_tasks_test);
    CPPUNIT_TEST(a_task_under_which_two_workers_crashed_is_given_up);
    CPPUNIT_TEST(a_restarted_worker_without_the_run_counts_as_crashed);
    CPPUNIT_TEST(a_task_under_which_a_worker_crashed_shares_its_next_worker_with_no_other);
    CPPUNIT_TEST(a_task_that_was_beside_the_crashing_one_succeeds);
    CPPUNIT_TEST(a_silent_worker_counts_as_no_crash);
    CPPUNIT_TEST(a_worker_that_only_refused_connections_counts_as_no_crash);
    CPPUNIT_TEST(a_lost_run_counts_as_a_crash_once_its_worker_has_restarted);
    CPPUNIT_TEST(a_task_that_may_have_crashed_a_worker_runs_alone);
    CPPUNIT_TEST(a_draining_worker_that_ends_counts_as_no_crash);
    CPPUNIT_TEST(a_worker_is_kept_free_for_a_task_that_needs_it_alone);
    CPPUNIT_TEST(no_worker_is_kept_free_that_cannot_run_the_task);
    CPPUNIT_TEST(few_trials_are_in_progress_at_a_time);
    CPPUNIT_TEST(no_trial_is_started_after_most_workers_crashed);
    CPPUNIT_TEST(the_count_outlives_the_job_and_its_resubmission);
    CPPUNIT_TEST(the_count_of_another_host_is_used_and_passed_on_once);
    CPPUNIT_TEST(a_host_that_is_linked_later_is_told_the_counts);
    CPPUNIT_TEST(a_resubmitted_job_that_was_given_up_is_not_started);
    CPPUNIT_TEST(the_count_is_forgotten_after_a_while);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
    }

    // Guards against one task that crashes worker after worker: a run that was lost with its worker
    // counted as no attempt.
    void a_task_under_which_two_workers_crashed_is_given_up()
    {
        add_workers(6);
        submit(1, first_job);
        crash(take_single_start());
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        crash(take_single_start());
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        expect_answer(job_outcome::failed);
    }

    void a_restarted_worker_without_the_run_counts_as_crashed()
    {
        add_workers(6);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        fixture_->advance(milliseconds(10));
        fixture_->deliver_report(first.to.id.text(), {.started_at_ms = 5000}, true);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, crashes_of(first));
    }

    void a_task_under_which_a_worker_crashed_shares_its_next_worker_with_no_other()
    {
        add_workers(3);
        submit(1, first_job);
        crash(take_single_start());
        const start_run trial = take_single_start();
        fixture_->accept_start(trial);
        submit(2, second_job, 8); // two fit a worker
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            CPPUNIT_ASSERT(it.to.id != trial.to.id);
        }
        fixture_->report_run_end(trial, run_outcome::done);
        CPPUNIT_ASSERT(!fixture_->take_actions<start_run>().empty());
    }

    void a_task_that_was_beside_the_crashing_one_succeeds()
    {
        add_workers(6);
        submit(1, first_job);
        submit(2, second_job);
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
        CPPUNIT_ASSERT(starts[0].to.id == starts[1].to.id);
        fixture_->accept_start(starts[0]);
        fixture_->accept_start(starts[1]);
        crash_worker(starts[0].to.id);
        for (int n = 0; n < 2; ++n) {
            const start_run trial = take_single_start();
            fixture_->accept_start(trial);
            if (trial.run.job == job_id(first_job)) {
                crash_worker(trial.to.id);
                expect_answer(job_outcome::failed);
            } else {
                fixture_->report_run_end(trial, run_outcome::done);
                expect_answer(job_outcome::succeeded);
            }
        }
    }

    void a_silent_worker_counts_as_no_crash()
    {
        add_workers(6);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        fixture_->deliver(report_failed{first.to.id, first.to.token, call_failure::timed_out,
                                        fixture_->now(), true});
        fixture_->advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, crashes_of(first));
    }

    // Guards against jobs answered as failed without a cause: two refused connections counted as
    // two crashes under a task.
    void a_worker_that_only_refused_connections_counts_as_no_crash()
    {
        add_workers(6);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        lose_runs(first.to.id);
        const start_run second = take_single_start();
        fixture_->accept_start(second);
        lose_runs(second.to.id);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, crashes_of(first));
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        fixture_->deliver_report(first.to.id.text(), {});
        fixture_->deliver_report(second.to.id.text(), {});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, crashes_of(first));
        CPPUNIT_ASSERT(fixture_->board().lost_runs.empty());
        fixture_->report_run_end(take_single_start(), run_outcome::done);
        expect_answer(job_outcome::succeeded);
    }

    void a_lost_run_counts_as_a_crash_once_its_worker_has_restarted()
    {
        add_workers(6);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        lose_runs(first.to.id);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, crashes_of(first));
        fixture_->deliver_report(first.to.id.text(), {.started_at_ms = ++last_start_ms_});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, crashes_of(first));
        const start_run second = take_single_start();
        fixture_->accept_start(second);
        lose_runs(second.to.id);
        fixture_->deliver_report(second.to.id.text(), {.started_at_ms = ++last_start_ms_});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, crashes_of(first));
        expect_answer(job_outcome::failed);
    }

    void a_task_that_may_have_crashed_a_worker_runs_alone()
    {
        add_workers(3);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        lose_runs(first.to.id);
        const start_run trial = take_single_start();
        fixture_->accept_start(trial);
        submit(2, second_job, 8);
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            CPPUNIT_ASSERT(it.to.id != trial.to.id);
        }
    }

    void a_draining_worker_that_ends_counts_as_no_crash()
    {
        add_workers(6);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        worker_fields draining = job_fixture::make_worker(first.to.id.text());
        draining.draining = true;
        fixture_->deliver(worker_listed{draining});
        lose_runs(first.to.id);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, crashes_of(first));
        CPPUNIT_ASSERT(fixture_->board().lost_runs.empty());
        take_single_start();
    }

    void a_worker_is_kept_free_for_a_task_that_needs_it_alone()
    {
        add_workers(2);
        submit(1, first_job);
        const start_run first = take_single_start();
        fixture_->accept_start(first);
        submit(2, second_job, 8);
        const auto others = fixture_->take_actions<start_run>(); // both workers are full
        for (const start_run& it : others) {
            fixture_->accept_start(it);
        }
        crash_worker(first.to.id);
        // The other worker gets no new runs, although half of it is free, and then the trial.
        std::vector<start_run> remaining;
        std::copy_if(others.begin(), others.end(), std::back_inserter(remaining),
                     [&](const start_run& it) { return it.to.id != first.to.id; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, remaining.size());
        worker_report report;
        report.running.push_back({.run = remaining[1].run});
        report.ended.push_back(
            {.sequence = 1, .run = remaining[0].run, .outcome = run_outcome::done});
        fixture_->deliver_report(remaining[0].to.id.text(), report, true);
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
        fixture_->deliver_report(remaining[1].to.id.text(), {}, true);
        take_single_start();
    }

    void no_worker_is_kept_free_that_cannot_run_the_task()
    {
        add_workers(2);
        submit(1, first_job, 4); // both workers are full
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            fixture_->accept_start(it);
        }
        worker_fields draining = job_fixture::make_worker("w-1");
        draining.draining = true;
        fixture_->deliver(worker_listed{draining});
        crash_worker(worker_id("w-0"));
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(fixture_->board().reserved_worker->empty());
        fixture_->deliver(worker_listed{job_fixture::make_worker("w-1")});
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT(*fixture_->board().reserved_worker == worker_id("w-1"));
    }

    void few_trials_are_in_progress_at_a_time()
    {
        constexpr std::size_t workers = 12;
        add_workers(workers);
        std::vector<std::string> jobs;
        for (int n = 0; n < 8; ++n) {
            jobs.push_back("00000000000000c" + std::to_string(n));
            submit(10 + static_cast<std::uint64_t>(n), jobs.back());
        }
        std::set<worker_id> crashed;
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            fixture_->accept_start(it);
            crashed.insert(it.to.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, crashed.size());
        for (const worker_id& it : crashed) {
            crash_worker(it);
        }
        fixture_->advance(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL((workers - crashed.size()) / 4,
                             fixture_->take_actions<start_run>().size());
    }

    void no_trial_is_started_after_most_workers_crashed()
    {
        add_workers(3);
        submit(1, first_job, 6);
        std::set<worker_id> used;
        for (const start_run& it : fixture_->take_actions<start_run>()) {
            fixture_->accept_start(it);
            used.insert(it.to.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
        crash_worker(worker_id("w-0"));
        crash_worker(worker_id("w-1"));
        fixture_->advance(milliseconds(100));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void the_count_outlives_the_job_and_its_resubmission()
    {
        add_workers(6);
        submit(1, first_job);
        crash(take_single_start());
        const start_run trial = take_single_start();
        fixture_->accept_start(trial);
        fixture_->deliver(call_abandoned{call_id(1)});
        fixture_->report_run_end(trial, run_outcome::stopped);
        CPPUNIT_ASSERT(fixture_->board().jobs.empty());
        fixture_->advance(milliseconds(1300));
        submit(2, first_job);
        crash(take_single_start());
        expect_answer(job_outcome::failed);
    }

    void the_count_of_another_host_is_used_and_passed_on_once()
    {
        add_workers(6);
        const task_id task{job_id(first_job), 0, 0};
        fixture_->deliver(task_crashes_reported{task, 1});
        fixture_->deliver(task_crashes_reported{task, 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<publish_task_crashes>().size());
        submit(1, first_job);
        crash(take_single_start());
        const auto published = fixture_->take_actions<publish_task_crashes>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, published[0].crashes);
        expect_answer(job_outcome::failed);
    }

    // Guards against a task that crashes two workers again at each host that was started after it.
    void a_host_that_is_linked_later_is_told_the_counts()
    {
        const task_id task{job_id(first_job), 0, 0};
        fixture_->deliver(task_crashes_reported{task, 1});
        fixture_->take_actions<publish_task_crashes>();
        fixture_->deliver(peer_connected{host_name("entry-2"), incarnation_id(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<publish_task_crashes>().size());
        fixture_->deliver(delegator_connected{link_number(3)});
        const auto published = fixture_->take_actions<publish_task_crashes>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT(published[0].task == task);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, published[0].crashes);
    }

    void a_resubmitted_job_that_was_given_up_is_not_started()
    {
        add_workers(6);
        fixture_->deliver(task_crashes_reported{{job_id(first_job), 0, 0}, 2});
        submit(1, first_job);
        expect_answer(job_outcome::failed);
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void the_count_is_forgotten_after_a_while()
    {
        fixture_->deliver(task_crashes_reported{{job_id(first_job), 0, 0}, 2});
        fixture_->advance(seconds(61));
        CPPUNIT_ASSERT(fixture_->board().task_crashes.empty());
    }

  private:
    void add_workers(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            fixture_->add_worker("w-" + std::to_string(n));
        }
    }

    void submit(std::uint64_t call, const std::string& id, std::uint32_t tasks = 1)
    {
        job_spec_fields it = *job_fixture::make_job(id, tasks);
        it.steps.front().estimated_run_time = seconds(5); // admission is not tested here
        fixture_->submit_job(call, it);
    }

    start_run take_single_start()
    {
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        return starts[0];
    }

    /// Accepts a start and crashes its worker.
    void crash(const start_run& it)
    {
        fixture_->accept_start(it);
        crash_worker(it.to.id);
    }

    /// The process of a worker ends, and is listed again when the lease of its runs has expired.
    void crash_worker(const worker_id& id)
    {
        fixture_->advance(milliseconds(10));
        lose_runs(id);
        worker_fields restarted = **fixture_->board().workers.find(id);
        restarted.started_at_ms = ++last_start_ms_;
        fixture_->deliver(worker_listed{restarted});
    }

    void refuse_connection(const worker_id& id)
    {
        fixture_->deliver(report_failed{id, fixture_->board().sessions.find(id)->token,
                                        call_failure::connection_refused, fixture_->now(), true});
    }

    /// The worker refuses connections until the lease of its runs has expired.
    void lose_runs(const worker_id& id)
    {
        refuse_connection(id);
        fixture_->advance(milliseconds(1200));
    }

    std::uint32_t crashes_of(const start_run& it) const
    {
        const std::uint32_t* found =
            fixture_->board().task_crashes.find({it.run.job, it.run.step, it.run.task});
        return found == nullptr ? 0 : *found;
    }

    void expect_answer(job_outcome outcome)
    {
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == outcome);
    }

    std::unique_ptr<job_fixture> fixture_;
    std::int64_t last_start_ms_ = 2000; ///< of a worker's process that was started last
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_tasks_test);

} // namespace

} // namespace papayafall::jobs
