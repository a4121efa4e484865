#include "papayafall/core/engine/standard_engine.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace papayafall;

namespace {

constexpr duration lease_duration = std::chrono::seconds(10);

/// Engine of a host that holds the only seat, with one target of two slots and a simulated clock.
class single_host {
  public:
    explicit single_host(std::optional<wall_time> inherited_at = std::nullopt)
        : engine_(make_engine(self_state_fields{.host = host_name("a1"),
                                                .zone = zone_name("a"),
                                                .incarnation = incarnation_id(7)},
                              core_parameters(), standard_policies()))
    {
        configuration_fields content{.revision = revision_id(1)};
        content.services[service_name("book")] = {.time_limit = std::chrono::seconds(5)};
        content.services[service_name("check")] = {.time_limit = std::chrono::seconds(5),
                                                   .idempotent = true};
        content.teams[team_name("desk")] = {.slot_quota = 10};
        content.zones[zone_name("a")] = {.seat_count = 1};
        post(configuration_received{content});
        post(host_list_received{host_list_fields{
            .targets = {{.name = target_name("t"), .zone = zone_name("a"), .slots = 2}}}});
        // A new target starts in the careful stage; its second slot becomes usable later.
        advance_time(std::chrono::milliseconds(250));
        advance_time(std::chrono::milliseconds(250));
        post(session_confirmed{now.steady + lease_duration});
        post(seat_granted{{.zone = zone_name("a"), .number = 0}, inherited_at});
        actions.clear();
    }

    /// Handles one event, checks the invariants and collects the actions.
    void post(const event& incoming)
    {
        engine_->handle(incoming, now);
        engine_->board().check_invariants();
        for (const action& it : engine_->take_actions()) {
            actions.push_back(it);
        }
    }

    /// Advances the clock, ticks the engine and collects the actions.
    void advance_time(duration elapsed)
    {
        now.steady += elapsed;
        now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
        engine_->tick(now);
        for (const action& it : engine_->take_actions()) {
            actions.push_back(it);
        }
    }

    /// Submits a request with one task.
    /// @return the call that waits for the answer
    call_id submit(const std::optional<request_key>& key, const std::string& body = "slot",
                   std::uint64_t fingerprint = 1, const std::string& service = "book")
    {
        const call_id call(next_call_++);
        post(request_received{call, request_fields{.service = service_name(service),
                                                   .team = team_name("desk"),
                                                   .key = key,
                                                   .fingerprint = fingerprint,
                                                   .tasks = {{.body = bytes(body)}}}});
        return call;
    }

    /// Returns all actions of type `Action` so far.
    template <typename Action>
    std::vector<Action> actions_of_type() const
    {
        std::vector<Action> found;
        for (const action& it : actions) {
            if (const auto* wanted = std::get_if<Action>(&it)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    /// Returns the answer to a call, or nothing if it is still open.
    std::optional<answer> answer_of(call_id call) const
    {
        for (const answer_call& it : actions_of_type<answer_call>()) {
            if (it.call == call) {
                return it.result;
            }
        }
        return std::nullopt;
    }

    /// Returns the failure that a call was answered with.
    failure failure_of(call_id call) const { return std::get<failure>(answer_of(call).value()); }

    /// Submits a request to an idempotent service, without a key.
    /// @return the call that waits for the answer
    call_id submit_idempotent() { return submit(std::nullopt, "piece", 1, "check"); }

    /// Ends the exchange that was started last with `outcome`.
    void finish_last_exchange(const exchange_outcome& outcome)
    {
        post(exchange_finished{actions_of_type<start_exchange>().back().exchange, outcome});
    }

    /// Returns a key that carries a creation time, `age` before now.
    caller_key make_timed_key(std::chrono::milliseconds age = {},
                              const std::string& text = "k") const
    {
        return caller_key{.text = text, .created_at = now.wall - age};
    }

    clock_reading now{.steady = time_point(std::chrono::hours(1)),
                      .wall = wall_time(std::chrono::hours(500'000))};
    std::vector<action> actions;

  private:
    std::unique_ptr<engine> engine_;
    std::uint64_t next_call_ = 1;
};

const task_answer success_answer{.status = 200, .body = bytes("booked")};

/// Tests that a key starts work at most once, and that resubmissions get the answer of the first
/// submission.
class resubmission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resubmission_test);
    CPPUNIT_TEST(resubmission_joins_an_open_submission);
    CPPUNIT_TEST(resubmission_after_completion_returns_the_stored_answer);
    CPPUNIT_TEST(reusing_a_key_for_a_different_request_is_rejected);
    CPPUNIT_TEST(late_answer_replaces_an_unknown_outcome);
    CPPUNIT_TEST(request_with_unknown_outcome_is_not_restarted);
    CPPUNIT_TEST(submission_cancelled_before_its_start_may_run_later);
    CPPUNIT_TEST_SUITE_END();

  public:
    void resubmission_joins_an_open_submission()
    {
        single_host host;
        const call_id first = host.submit(host.make_timed_key());
        const call_id second = host.submit(host.make_timed_key());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
        host.finish_last_exchange(success_answer);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(first).value()));
        CPPUNIT_ASSERT(host.answer_of(first) == host.answer_of(second));
    }

    void resubmission_after_completion_returns_the_stored_answer()
    {
        single_host host;
        const caller_key key = host.make_timed_key();
        const call_id first = host.submit(key);
        host.finish_last_exchange(success_answer);
        host.advance_time(std::chrono::minutes(9));
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(host.answer_of(first) == host.answer_of(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
    }

    void reusing_a_key_for_a_different_request_is_rejected()
    {
        single_host host;
        host.submit(host.make_timed_key());
        const call_id other = host.submit(host.make_timed_key(), "another slot", 2);
        CPPUNIT_ASSERT(host.failure_of(other).id == error_id::key_reused);
        CPPUNIT_ASSERT(host.failure_of(other).run == run_state::not_run);
    }

    void late_answer_replaces_an_unknown_outcome()
    {
        single_host host;
        const caller_key key = host.make_timed_key();
        const call_id first = host.submit(key);
        host.advance_time(std::chrono::milliseconds(5001));
        CPPUNIT_ASSERT(host.failure_of(first).run == run_state::unknown);
        host.finish_last_exchange(success_answer);
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(second).value()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
    }

    void request_with_unknown_outcome_is_not_restarted()
    {
        single_host host;
        const caller_key key = host.make_timed_key();
        host.submit(key);
        host.finish_last_exchange(connection_lost{});
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(host.failure_of(second).run == run_state::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
    }

    void submission_cancelled_before_its_start_may_run_later()
    {
        single_host host;
        host.submit(std::nullopt);
        host.submit(std::nullopt);
        const caller_key key = host.make_timed_key();
        const call_id waiting = host.submit(key);
        host.post(cancel_received{local_origin{call_id(99)}, key});
        CPPUNIT_ASSERT(host.failure_of(waiting).run == run_state::not_run);
        host.finish_last_exchange(success_answer);
        host.submit(key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host.actions_of_type<start_exchange>().size());
    }
};

/// Tests retries of tasks whose first attempt may have run.
class retry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(idempotent_request_without_a_key_is_retried);
    CPPUNIT_TEST(retried_task_that_expires_in_the_queue_has_an_unknown_outcome);
    CPPUNIT_TEST_SUITE_END();

  public:
    void idempotent_request_without_a_key_is_retried()
    {
        single_host host;
        const call_id call = host.submit_idempotent();
        host.finish_last_exchange(connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.actions_of_type<start_exchange>().size());
        host.finish_last_exchange(success_answer);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(call).value()));
    }

    void retried_task_that_expires_in_the_queue_has_an_unknown_outcome()
    {
        single_host host;
        for (int n = 0; n < 100; ++n) {
            host.submit_idempotent();
            host.advance_time(std::chrono::seconds(1));
            host.finish_last_exchange(success_answer);
        }
        host.submit_idempotent();
        const call_id uncertain = host.submit_idempotent();
        host.submit_idempotent(); // is queued before the retry and takes the freed slot
        host.finish_last_exchange(connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{103}, host.actions_of_type<start_exchange>().size());
        CPPUNIT_ASSERT(!host.answer_of(uncertain));
        host.advance_time(
            std::chrono::milliseconds(4800)); // too late for the task to meet its deadline
        CPPUNIT_ASSERT(host.failure_of(uncertain).run == run_state::unknown);
    }
};

/// Tests which keys a host may start work for as their home.
class home_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(home_test);
    CPPUNIT_TEST(expired_lease_prevents_work_for_new_keys);
    CPPUNIT_TEST(new_seat_holder_rejects_older_keys);
    CPPUNIT_TEST(key_created_in_the_future_is_rejected);
    CPPUNIT_TEST(ticket_of_an_earlier_incarnation_has_an_unknown_outcome);
    CPPUNIT_TEST(ticket_that_was_not_issued_is_rejected);
    CPPUNIT_TEST(expired_ticket_starts_no_work);
    CPPUNIT_TEST(request_without_a_key_needs_no_lease);
    CPPUNIT_TEST_SUITE_END();

  public:
    void expired_lease_prevents_work_for_new_keys()
    {
        single_host host;
        const caller_key known = host.make_timed_key({}, "known");
        host.submit(known);
        host.finish_last_exchange(success_answer);
        host.advance_time(lease_duration);
        const call_id fresh = host.submit(host.make_timed_key({}, "fresh"));
        CPPUNIT_ASSERT(host.failure_of(fresh).id == error_id::no_home);
        CPPUNIT_ASSERT(host.failure_of(fresh).run == run_state::unknown);
        const call_id again = host.submit(known);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(again).value()));
    }

    void new_seat_holder_rejects_older_keys()
    {
        const wall_time taken_over_at = single_host().now.wall;
        single_host host(taken_over_at);
        const call_id older = host.submit(host.make_timed_key(std::chrono::milliseconds(1)));
        CPPUNIT_ASSERT(host.failure_of(older).id == error_id::home_lost);
        const call_id plain = host.submit(caller_key{.text = "plain"});
        CPPUNIT_ASSERT(host.failure_of(plain).run == run_state::unknown);
        host.advance_time(std::chrono::milliseconds(2001));
        host.submit(host.make_timed_key({}, "newer"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
    }

    void key_created_in_the_future_is_rejected()
    {
        single_host host;
        const call_id call = host.submit(host.make_timed_key(std::chrono::milliseconds(-1001)));
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::invalid_key);
        CPPUNIT_ASSERT(host.failure_of(call).run == run_state::not_run);
    }

    void ticket_of_an_earlier_incarnation_has_an_unknown_outcome()
    {
        single_host host;
        const call_id call = host.submit(ticket{.zone = zone_name("a"),
                                                .host = host_name("a1"),
                                                .incarnation = incarnation_id(6),
                                                .sequence = 1});
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::home_lost);
        CPPUNIT_ASSERT(host.failure_of(call).run == run_state::unknown);
    }

    void ticket_that_was_not_issued_is_rejected()
    {
        single_host host;
        const call_id call = host.submit(ticket{.zone = zone_name("a"),
                                                .host = host_name("a1"),
                                                .incarnation = incarnation_id(7),
                                                .sequence = 1});
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::invalid_key);
    }

    void expired_ticket_starts_no_work()
    {
        single_host host;
        host.post(tickets_requested{call_id(50), 2});
        const std::vector<ticket> tickets = host.actions_of_type<issue_tickets>().front().tickets;
        host.submit(tickets.at(0));
        host.finish_last_exchange(success_answer);
        host.advance_time(std::chrono::minutes(5));
        const call_id unused = host.submit(tickets.at(1));
        CPPUNIT_ASSERT(host.failure_of(unused).id == error_id::key_expired);
        const call_id used = host.submit(tickets.at(0));
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(used).value()));
    }

    void request_without_a_key_needs_no_lease()
    {
        single_host host;
        host.advance_time(lease_duration);
        host.submit(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<start_exchange>().size());
    }
};

/// Tests the graceful shutdown.
class shutdown_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(process_stops_after_its_last_answer);
    CPPUNIT_TEST(new_requests_are_rejected_after_the_drain_period);
    CPPUNIT_TEST_SUITE_END();

  public:
    void process_stops_after_its_last_answer()
    {
        single_host host;
        host.submit(std::nullopt);
        host.post(shutdown_requested{host.now.steady + std::chrono::seconds(30)});
        host.advance_time(std::chrono::milliseconds(2000));
        CPPUNIT_ASSERT(host.actions_of_type<stop_process>().empty());
        host.finish_last_exchange(success_answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.actions_of_type<stop_process>().size());
    }

    void new_requests_are_rejected_after_the_drain_period()
    {
        single_host host;
        const call_id open = host.submit(std::nullopt);
        host.post(shutdown_requested{host.now.steady + std::chrono::seconds(30)});
        host.submit(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.actions_of_type<start_exchange>().size());
        host.advance_time(std::chrono::milliseconds(2000));
        const call_id late = host.submit(std::nullopt);
        CPPUNIT_ASSERT(host.failure_of(late).id == error_id::shutting_down);
        CPPUNIT_ASSERT(!host.answer_of(open));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resubmission_test);
CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);
CPPUNIT_TEST_SUITE_REGISTRATION(home_test);
CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);

} // namespace
