#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

/// Two workers with room for two tasks each, and three queues of the priorities 0, 1 and 2, whose
/// jobs have 300 ms for tasks of 100 ms.
class job_admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_admission_test);
    CPPUNIT_TEST(a_displaced_job_is_answered_at_once);
    CPPUNIT_TEST(a_job_of_which_a_task_was_started_is_not_displaced);
    CPPUNIT_TEST(a_job_that_has_waited_long_keeps_its_place);
    CPPUNIT_TEST(a_job_that_cannot_be_served_is_not_held);
    CPPUNIT_TEST(a_waiting_job_is_answered_when_it_can_no_longer_be_in_time);
    CPPUNIT_TEST(waiting_jobs_yield_when_workers_are_lost);
    CPPUNIT_TEST(tasks_of_a_started_job_go_before_new_jobs);
    CPPUNIT_TEST(a_refused_caller_is_told_when_to_return);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        queue_configuration_fields configuration{.version = 2};
        for (std::uint32_t n = 0; n < 3; ++n) {
            configuration.queues.push_back({.name = queue_name("q" + std::to_string(n)),
                                            .hostname = "desk.example",
                                            .path_prefix = "/" + std::to_string(n) + "/",
                                            .service = service_name("desk"),
                                            .priority = n,
                                            .max_attempts = 2,
                                            .objective_factor = 2,
                                            .objective_offset = milliseconds(100)});
        }
        fixture_->deliver(configuration_read{std::move(configuration), {}});
        fixture_->add_worker("w-1");
        fixture_->add_worker("w-2");
        fixture_->take_actions<fetch_report>();
    }

    void a_displaced_job_is_answered_at_once()
    {
        fill_workers();
        const std::uint64_t waiting = fill_queue(2);
        fixture_->take_actions<answer_job>();
        submit(0, 4);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT(!answers.empty());
        for (const answer_job& it : answers) {
            CPPUNIT_ASSERT(it.outcome == job_outcome::refused);
            CPPUNIT_ASSERT(it.call != call_id(last_call_));
        }
        CPPUNIT_ASSERT_EQUAL(waiting + 1 - answers.size(),
                             std::uint64_t{fixture_->board().waiting_jobs.size()});
        CPPUNIT_ASSERT_EQUAL(answers.size(), count_decisions("job_displaced"));
        submit(2, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_decisions("job_displaced"));
    }

    void a_job_of_which_a_task_was_started_is_not_displaced()
    {
        submit(2, 3);
        submit(2, 2); // one of its tasks waits
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture_->take_actions<start_run>().size());
        for (int n = 0; n < 20; ++n) {
            submit(0, 4);
        }
        for (const answer_job& it : fixture_->take_actions<answer_job>()) {
            CPPUNIT_ASSERT(it.call != call_id(1) && it.call != call_id(2));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_decisions("job_displaced"));
    }

    void a_job_that_has_waited_long_keeps_its_place()
    {
        fill_workers();
        submit(2, 4);
        fixture_->advance(milliseconds(60)); // its decision deadline is at 54 ms
        for (int n = 0; n < 20; ++n) {
            submit(0, 4);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_decisions("job_displaced"));
        CPPUNIT_ASSERT(fixture_->board().waiting_job_ranks.contains(job_number(2)));
    }

    void a_job_that_cannot_be_served_is_not_held()
    {
        fill_workers();
        std::size_t refused = 0;
        for (int n = 0; n < 12; ++n) {
            submit(1, 4);
            refused += fixture_->take_actions<answer_job>().size();
        }
        CPPUNIT_ASSERT(refused > 0);
        CPPUNIT_ASSERT_EQUAL(12 - refused, fixture_->board().waiting_jobs.size());
    }

    void a_waiting_job_is_answered_when_it_can_no_longer_be_in_time()
    {
        fill_workers();
        submit(1, 1);
        fixture_->advance(milliseconds(220));
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>().empty());
        fixture_->advance(milliseconds(20)); // less than 70 ms are left for 100 ms of run time
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::refused);
        CPPUNIT_ASSERT(fixture_->board().waiting_tasks.empty());
        CPPUNIT_ASSERT(fixture_->board().backlogs.empty());
    }

    // Load: half of the workers is lost while the queue is full.
    void waiting_jobs_yield_when_workers_are_lost()
    {
        fill_workers();
        fill_queue(1);
        fixture_->take_actions<answer_job>();
        const std::size_t waiting = fixture_->board().waiting_jobs.size();
        worker_fields draining = job_fixture::make_worker("w-2");
        draining.draining = true;
        fixture_->deliver(worker_listed{draining});
        fixture_->advance(milliseconds(10));
        CPPUNIT_ASSERT(!fixture_->take_actions<answer_job>().empty());
        CPPUNIT_ASSERT(fixture_->board().waiting_jobs.size() < waiting);
    }

    void tasks_of_a_started_job_go_before_new_jobs()
    {
        submit(2, 3);
        submit(2, 2); // one of its tasks waits
        const auto running = fixture_->take_actions<start_run>();
        submit(0, 1);
        fixture_->accept_start(running[0]);
        fixture_->report_run_end(running[0], run_outcome::done);
        const auto next = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(next[0].run.job == running[3].run.job);
    }

    void a_refused_caller_is_told_when_to_return()
    {
        fill_workers();
        fill_queue(1);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT(!answers.empty());
        for (const answer_job& it : answers) {
            CPPUNIT_ASSERT(it.retry_at >= fixture_->now() + std::chrono::seconds(1));
        }
    }

  private:
    void submit(std::uint32_t priority, std::uint32_t tasks)
    {
        const std::string id = "job-" + std::to_string(++last_call_);
        fixture_->deliver(job_submitted{call_id(last_call_), "desk.example",
                                        "/" + std::to_string(priority) + "/" + id,
                                        job_fixture::make_job(id, tasks), fixture_->now(),
                                        fixture_->now() + std::chrono::seconds(10)});
    }

    void fill_workers()
    {
        submit(0, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture_->take_actions<start_run>().size());
    }

    /// Submits jobs until some are refused, too few for their queue to count as underserved.
    /// @return number of waiting jobs
    std::uint64_t fill_queue(std::uint32_t priority)
    {
        for (int n = 0; n < 4; ++n) {
            submit(priority, 4);
        }
        return fixture_->board().waiting_jobs.size();
    }

    /// Removes the logged decisions and returns how many there were of the given kind.
    std::size_t count_decisions(const std::string& kind)
    {
        std::size_t n = 0;
        for (const log_decision& it : fixture_->take_actions<log_decision>()) {
            n += it.decision == kind ? 1 : 0;
        }
        return n;
    }

    std::unique_ptr<job_fixture> fixture_;
    std::uint64_t last_call_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_admission_test);

} // namespace

} // namespace papayafall::jobs
