#include "support/job_fixture.hpp"

#include "papayafall/core/jobs/controllers/cancellation_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::job_fixture;

const job_id sample_job("00000000000000a1");
const job_origin other_origin{link_number(3), delegation_id(5)};

/// Cancellations that reach any host, and requests that arrive after them.
class cancelled_jobs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cancelled_jobs_test);
    CPPUNIT_TEST(a_job_is_cancelled_by_the_host_that_took_it);
    CPPUNIT_TEST(a_job_is_cancelled_by_the_host_that_runs_it);
    CPPUNIT_TEST(a_job_is_cancelled_by_a_linked_host);
    CPPUNIT_TEST(a_job_of_a_removed_queue_is_cancelled);
    CPPUNIT_TEST(a_leaving_host_cancels_jobs);
    CPPUNIT_TEST(a_late_copy_of_a_cancelled_job_is_not_started);
    CPPUNIT_TEST(a_delegation_of_a_cancelled_job_is_not_accepted);
    CPPUNIT_TEST(a_job_that_no_host_has_open_is_unknown);
    CPPUNIT_TEST(a_job_is_undetermined_without_the_answers_of_all_dispatchers);
    CPPUNIT_TEST(a_job_is_undetermined_without_the_store);
    CPPUNIT_TEST(a_missing_link_is_opened_for_the_question);
    CPPUNIT_TEST(a_job_that_another_host_had_open_is_answered_as_cancelled);
    CPPUNIT_TEST(a_finding_of_a_host_without_a_link_answers_the_caller);
    CPPUNIT_TEST(callers_of_one_job_share_a_question);
    CPPUNIT_TEST(a_question_is_answered_by_what_was_open);
    CPPUNIT_TEST(a_suspension_answers_the_open_cancellations);
    CPPUNIT_TEST(a_cancellation_is_passed_on_once);
    CPPUNIT_TEST(a_host_that_is_linked_later_is_told_the_cancellations);
    CPPUNIT_TEST(a_cancellation_is_forgotten_after_a_while);
    CPPUNIT_TEST(a_passed_on_cancellation_is_remembered_no_longer_than_its_first);
    CPPUNIT_TEST(a_cancellation_that_others_forget_soon_is_not_passed_on);
    CPPUNIT_TEST(the_number_of_remembered_cancellations_is_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->take_actions<connect_peer>();
    }

    void a_job_is_cancelled_by_the_host_that_took_it()
    {
        const start_run run = start_job();
        cancel(2);
        expect_status(2, job_status::cancelled);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::cancelled);
        expect_stop(run);
        const auto published = fixture_->take_actions<publish_cancellation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT(published[0].cancellation.job == sample_job);
        CPPUNIT_ASSERT(published[0].cancellation.found);
    }

    // Guards against jobs that went on after their cancellation had reached another host than the
    // one that had taken them.
    void a_job_is_cancelled_by_the_host_that_runs_it()
    {
        const start_run run = start_delegated_job();
        cancel(2);
        expect_status(2, job_status::cancelled);
        expect_stop(run);
        const auto outcomes = fixture_->take_actions<answer_delegation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].outcome == job_outcome::cancelled);
    }

    void a_job_is_cancelled_by_a_linked_host()
    {
        const start_run run = start_job();
        fixture_->deliver(job_cancellation_requested{link_number(4), cancellation()});
        expect_stop(run);
        const auto answers = fixture_->take_actions<answer_cancellation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].found);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job>()[0].outcome == job_outcome::cancelled);
    }

    // Guards against jobs that could not be cancelled after their queue was removed.
    void a_job_of_a_removed_queue_is_cancelled()
    {
        const start_run run = start_job();
        fixture_->configure(2, "/other/");
        cancel(2);
        expect_status(2, job_status::cancelled);
        expect_stop(run);
    }

    void a_leaving_host_cancels_jobs()
    {
        const start_run run = start_job();
        fixture_->deliver(stop_requested{fixture_->now() + seconds(6)});
        fixture_->advance(milliseconds(500));
        cancel(2);
        expect_status(2, job_status::cancelled);
        expect_stop(run);
    }

    // Guards against a copy of the first request that arrived after the job was cancelled, and ran
    // it from the start.
    void a_late_copy_of_a_cancelled_job_is_not_started()
    {
        start_job();
        cancel(2);
        fixture_->take_actions<answer_job>();
        fixture_->advance(seconds(10));
        submit(3);
        const auto answers = fixture_->take_actions<answer_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].call == call_id(3));
        CPPUNIT_ASSERT(answers[0].outcome == job_outcome::cancelled);
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_delegation_of_a_cancelled_job_is_not_accepted()
    {
        fixture_->deliver(job_cancellation_reported{cancellation()});
        deliver_delegation();
        const auto outcomes = fixture_->take_actions<answer_delegation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].outcome == job_outcome::cancelled);
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT(fixture_->take_actions<start_run>().empty());
    }

    void a_job_that_no_host_has_open_is_unknown()
    {
        cancel(2);
        expect_status(2, job_status::unknown);
        link_holder("entry-2", 0);
        link_holder("entry-3", 1);
        cancel(3);
        expect_asked({"entry-2", "entry-3"});
        answer("entry-2", false);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job_status>().empty());
        answer("entry-3", false);
        expect_status(3, job_status::unknown);
    }

    // Guards against a job that went on although its cancellation was answered as if no host knew
    // the job.
    void a_job_is_undetermined_without_the_answers_of_all_dispatchers()
    {
        link_holder("entry-2", 0);
        list_holder("entry-3", 1);
        cancel(2);
        expect_asked({"entry-2"});
        answer("entry-2", false);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_job_status>().empty());
        fixture_->advance(milliseconds(600));
        expect_status(2, job_status::undetermined);
    }

    void a_job_is_undetermined_without_the_store()
    {
        fixture_->deliver(store_lost{});
        cancel(2);
        expect_status(2, job_status::undetermined);
    }

    void a_missing_link_is_opened_for_the_question()
    {
        constexpr int foreign_zones = 9; // more than a host keeps links to
        for (int n = 0; n < foreign_zones; ++n) {
            list_holder("entry-" + std::to_string(n + 2), 0, "far-" + std::to_string(n));
        }
        fixture_->advance(milliseconds(200));
        fixture_->take_actions<connect_peer>();
        const std::size_t linked = fixture_->board().peers.size();
        CPPUNIT_ASSERT(linked < foreign_zones);
        cancel(2);
        fixture_->advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(foreign_zones - linked, fixture_->take_actions<connect_peer>().size());
        fixture_->take_actions<request_cancellation>();
        connect("entry-2");
        expect_asked({"entry-2"});
    }

    void a_job_that_another_host_had_open_is_answered_as_cancelled()
    {
        link_holder("entry-2", 0);
        link_holder("entry-3", 1);
        cancel(2);
        answer("entry-3", true);
        expect_status(2, job_status::cancelled);
        cancel(3); // again, without a further question
        expect_status(3, job_status::cancelled);
        CPPUNIT_ASSERT(fixture_->take_actions<request_cancellation>().size() == 2);
    }

    void a_finding_of_a_host_without_a_link_answers_the_caller()
    {
        link_holder("entry-2", 0);
        list_holder("entry-3", 1);
        cancel(2);
        answer("entry-2", false);
        fixture_->deliver(job_cancellation_reported{cancellation(true)});
        expect_status(2, job_status::cancelled);
    }

    void callers_of_one_job_share_a_question()
    {
        link_holder("entry-2", 0);
        cancel(2);
        cancel(3);
        expect_asked({"entry-2"});
        answer("entry-2", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture_->take_actions<answer_job_status>().size());
        CPPUNIT_ASSERT(fixture_->board().open_cancellations.empty());
    }

    void a_question_is_answered_by_what_was_open()
    {
        start_job();
        cancel(2);
        fixture_->take_actions<answer_cancellation>();
        // Nothing of the job is open any more, but this host knows that it was.
        fixture_->deliver(job_cancellation_requested{link_number(4), cancellation()});
        CPPUNIT_ASSERT(fixture_->take_actions<answer_cancellation>()[0].found);
    }

    void a_suspension_answers_the_open_cancellations()
    {
        link_holder("entry-2", 0);
        cancel(2);
        fixture_->deliver(process_resumed{seconds(2)});
        expect_status(2, job_status::undetermined);
    }

    void a_cancellation_is_passed_on_once()
    {
        fixture_->deliver(job_cancellation_reported{cancellation()});
        fixture_->deliver(job_cancellation_reported{cancellation()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<publish_cancellation>().size());
        fixture_->deliver(job_cancellation_reported{cancellation(true)});
        fixture_->deliver(job_cancellation_reported{cancellation(true)});
        fixture_->deliver(job_cancellation_reported{cancellation()});
        const auto published = fixture_->take_actions<publish_cancellation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT(published[0].cancellation.found);
    }

    void a_host_that_is_linked_later_is_told_the_cancellations()
    {
        fixture_->deliver(job_cancellation_reported{cancellation()});
        fixture_->deliver(peer_connected{host_name("entry-2"), incarnation_id(1), link_number(7)});
        fixture_->deliver(delegator_connected{link_number(8)});
        const auto sent = fixture_->take_actions<send_cancellation>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
        CPPUNIT_ASSERT(sent[0].link == link_number(7));
        CPPUNIT_ASSERT(sent[1].link == link_number(8));
        CPPUNIT_ASSERT(sent[1].cancellation.job == sample_job);
    }

    void a_cancellation_is_forgotten_after_a_while()
    {
        cancel(2);
        fixture_->advance(seconds(59));
        CPPUNIT_ASSERT(is_cancelled(fixture_->board(), sample_job));
        fixture_->advance(seconds(2));
        CPPUNIT_ASSERT(!is_cancelled(fixture_->board(), sample_job));
    }

    // Guards against a cancellation that hosts tell one another forever: one had forgotten it a
    // moment before the other.
    void a_cancellation_that_others_forget_soon_is_not_passed_on()
    {
        const start_run run = start_job();
        job_cancellation late = cancellation();
        late.forget_at = fixture_->now() + milliseconds(700);
        fixture_->deliver(job_cancellation_requested{link_number(4), late});
        expect_stop(run);
        CPPUNIT_ASSERT(fixture_->take_actions<answer_cancellation>()[0].found);
        CPPUNIT_ASSERT(fixture_->take_actions<publish_cancellation>().empty());
        CPPUNIT_ASSERT(!is_cancelled(fixture_->board(), sample_job));
    }

    void a_passed_on_cancellation_is_remembered_no_longer_than_its_first()
    {
        job_cancellation reported = cancellation();
        reported.forget_at = fixture_->now() + seconds(6);
        fixture_->deliver(job_cancellation_reported{reported});
        reported.found = true;
        reported.forget_at = fixture_->now() + seconds(50);
        fixture_->deliver(job_cancellation_reported{reported});
        fixture_->advance(seconds(7));
        CPPUNIT_ASSERT(!is_cancelled(fixture_->board(), sample_job));
    }

    void the_number_of_remembered_cancellations_is_bounded()
    {
        constexpr std::size_t limit = 16'384;
        for (std::size_t n = 0; n < limit + 10; ++n) {
            job_cancellation it = cancellation();
            it.job = job_id(std::to_string(n));
            it.forget_at += milliseconds(n);
            fixture_->deliver(job_cancellation_reported{it});
        }
        CPPUNIT_ASSERT_EQUAL(limit, fixture_->board().cancelled_jobs.size());
        CPPUNIT_ASSERT(!is_cancelled(fixture_->board(), job_id("0")));
        std::size_t dropped = 0;
        for (const log_decision& it : fixture_->take_actions<log_decision>()) {
            dropped += std::string(it.decision) == "cancellation_dropped" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, dropped);
    }

  private:
    job_cancellation cancellation(bool found = false) const
    {
        return {.job = sample_job, .found = found, .forget_at = fixture_->now() + seconds(30)};
    }

    void submit(std::uint64_t call)
    {
        fixture_->submit_job(call, job_fixture::make_job(sample_job.text()));
    }

    /// Submits the job to this host and returns its accepted run.
    start_run start_job()
    {
        submit(1);
        return accept_single_start();
    }

    /// Another host delegates the job.
    void deliver_delegation()
    {
        const time_point now = fixture_->now();
        fixture_->deliver(delegation_received{
            other_origin, job_order_fields{.job = job_fixture::make_job(sample_job.text()),
                                           .queue = queue_name("check"),
                                           .service = service_name("desk"),
                                           .configuration_version = 1,
                                           .max_attempts = 2,
                                           .received_at = now,
                                           .objective_deadline = now + seconds(1),
                                           .expires_at = now + seconds(10)}});
    }

    start_run start_delegated_job()
    {
        deliver_delegation();
        return accept_single_start();
    }

    start_run accept_single_start()
    {
        const auto starts = fixture_->take_actions<start_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        fixture_->accept_start(starts[0]);
        return starts[0];
    }

    void expect_stop(const start_run& run)
    {
        const auto stops = fixture_->take_actions<stop_run>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(stops[0].run == run.run);
    }

    /// A caller cancels the job.
    void cancel(std::uint64_t call)
    {
        fixture_->deliver(job_status_requested{call_id(call), "desk.example",
                                               "/check/" + sample_job.text(), sample_job, true});
    }

    void expect_status(std::uint64_t call, job_status status)
    {
        const auto answers = fixture_->take_actions<answer_job_status>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
        CPPUNIT_ASSERT(answers[0].call == call_id(call));
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(status)),
                             std::string(to_string(answers[0].status)));
    }

    /// Another host holds a cell of a zone.
    void list_holder(const std::string& host, std::uint32_t cell,
                     const std::string& zone = "zone-b")
    {
        fixture_->deliver(host_listed{
            {.host = host_name(host), .zone = zone_name(zone), .incarnation = incarnation_id(1)}});
        fixture_->deliver(claim_listed{make_cell_id(zone_name(zone), cell),
                                       {.holder = host_name(host),
                                        .incarnation = incarnation_id(1),
                                        .revision = store_revision(9)}});
    }

    void connect(const std::string& host)
    {
        fixture_->deliver(peer_connected{host_name(host), incarnation_id(1), link_number(9)});
    }

    void link_holder(const std::string& host, std::uint32_t cell)
    {
        list_holder(host, cell);
        connect(host);
    }

    void answer(const std::string& host, bool found)
    {
        fixture_->deliver(job_cancellation_answered{host_name(host), sample_job, found});
    }

    void expect_asked(const std::vector<std::string>& hosts)
    {
        std::vector<std::string> asked;
        for (const request_cancellation& it : fixture_->take_actions<request_cancellation>()) {
            CPPUNIT_ASSERT(it.cancellation.job == sample_job);
            asked.push_back(it.to.text());
        }
        CPPUNIT_ASSERT(asked == hosts);
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(cancelled_jobs_test);

} // namespace

} // namespace papayafall::jobs
