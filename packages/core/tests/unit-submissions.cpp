#include "papayafall/core/engine/standard_engine.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace papayafall;

namespace {

constexpr duration lease = std::chrono::seconds(10);

/// One engine with a target of two slots and the only seat, at a time of its own.
class single_host {
  public:
    explicit single_host(std::optional<wall_time> inherited_at = std::nullopt)
        : core_(make_engine(self_state_fields{.host = host_name("a1"),
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
        // A target that was just learned gets its second slot after a careful start.
        wait(std::chrono::milliseconds(250));
        wait(std::chrono::milliseconds(250));
        post(session_confirmed{now.steady + lease});
        post(seat_granted{{.zone = zone_name("a"), .number = 0}, inherited_at});
        actions.clear();
    }

    void post(const event& incoming)
    {
        core_->handle(incoming, now);
        core_->board().check_invariants();
        for (const action& it : core_->take_actions()) {
            actions.push_back(it);
        }
    }

    /// Lets time pass and the deadlines act.
    void wait(duration length)
    {
        now.steady += length;
        now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(length);
        core_->tick(now);
        for (const action& it : core_->take_actions()) {
            actions.push_back(it);
        }
    }

    /// Sends a booking of one task; returns its call.
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

    template <typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const action& it : actions) {
            if (const auto* wanted = std::get_if<Action>(&it)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    /// Answer of the call so far.
    std::optional<answer> answer_of(call_id call) const
    {
        for (const answer_call& it : all<answer_call>()) {
            if (it.call == call) {
                return it.result;
            }
        }
        return std::nullopt;
    }

    failure failure_of(call_id call) const { return std::get<failure>(answer_of(call).value()); }

    /// Sends a request of an idempotent service without a key; returns its call.
    call_id submit_idempotent() { return submit(std::nullopt, "piece", 1, "check"); }

    /// The last started task ends with `outcome`.
    void finish(const exchange_outcome& outcome)
    {
        post(exchange_finished{all<start_exchange>().back().exchange, outcome});
    }

    caller_key uuid(std::chrono::milliseconds age = {}, const std::string& text = "k") const
    {
        return caller_key{.text = text, .made_at = now.wall - age};
    }

    clock_reading now{.steady = time_point(std::chrono::hours(1)),
                      .wall = wall_time(std::chrono::hours(500'000))};
    std::vector<action> actions;

  private:
    std::unique_ptr<engine> core_;
    std::uint64_t next_call_ = 1;
};

const task_answer done{.status = 200, .body = bytes("booked")};

class resubmission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resubmission_test);
    CPPUNIT_TEST(open_submission_is_joined);
    CPPUNIT_TEST(closed_submission_gives_the_kept_answer);
    CPPUNIT_TEST(other_request_under_the_key_is_refused);
    CPPUNIT_TEST(late_answer_replaces_an_unknown_outcome);
    CPPUNIT_TEST(unknown_outcome_is_never_started_again);
    CPPUNIT_TEST(refused_submission_may_run_later);
    CPPUNIT_TEST_SUITE_END();

  public:
    void open_submission_is_joined()
    {
        single_host host;
        const call_id first = host.submit(host.uuid());
        const call_id second = host.submit(host.uuid());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
        host.finish(done);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(first).value()));
        CPPUNIT_ASSERT(host.answer_of(first) == host.answer_of(second));
    }

    void closed_submission_gives_the_kept_answer()
    {
        single_host host;
        const caller_key key = host.uuid();
        const call_id first = host.submit(key);
        host.finish(done);
        host.wait(std::chrono::minutes(9));
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(host.answer_of(first) == host.answer_of(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
    }

    void other_request_under_the_key_is_refused()
    {
        single_host host;
        host.submit(host.uuid());
        const call_id other = host.submit(host.uuid(), "another slot", 2);
        CPPUNIT_ASSERT(host.failure_of(other).id == error_id::key_reused);
        CPPUNIT_ASSERT(host.failure_of(other).run == run_state::not_run);
    }

    void late_answer_replaces_an_unknown_outcome()
    {
        single_host host;
        const caller_key key = host.uuid();
        const call_id first = host.submit(key);
        host.wait(std::chrono::milliseconds(5001));
        CPPUNIT_ASSERT(host.failure_of(first).run == run_state::unknown);
        host.finish(done);
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(second).value()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
    }

    void unknown_outcome_is_never_started_again()
    {
        single_host host;
        const caller_key key = host.uuid();
        host.submit(key);
        host.finish(connection_lost{});
        const call_id second = host.submit(key);
        CPPUNIT_ASSERT(host.failure_of(second).run == run_state::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
    }

    void refused_submission_may_run_later()
    {
        single_host host;
        host.submit(std::nullopt);
        host.submit(std::nullopt);
        const caller_key key = host.uuid();
        const call_id waiting = host.submit(key);
        host.post(cancel_received{local_origin{call_id(99)}, key});
        CPPUNIT_ASSERT(host.failure_of(waiting).run == run_state::not_run);
        host.finish(done);
        host.submit(key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host.all<start_exchange>().size());
    }
};

class retry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(idempotent_request_without_a_key_is_tried_again);
    CPPUNIT_TEST(uncertain_task_that_expires_in_the_queue_is_unknown);
    CPPUNIT_TEST_SUITE_END();

  public:
    void idempotent_request_without_a_key_is_tried_again()
    {
        single_host host;
        const call_id call = host.submit_idempotent();
        host.finish(connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.all<start_exchange>().size());
        host.finish(done);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(call).value()));
    }

    void uncertain_task_that_expires_in_the_queue_is_unknown()
    {
        single_host host;
        for (int n = 0; n < 100; ++n) {
            host.submit_idempotent();
            host.wait(std::chrono::seconds(1));
            host.finish(done);
        }
        host.submit_idempotent();
        const call_id uncertain = host.submit_idempotent();
        host.submit_idempotent(); // waits, and gets the slot before the retry
        host.finish(connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{103}, host.all<start_exchange>().size());
        CPPUNIT_ASSERT(!host.answer_of(uncertain));
        host.wait(std::chrono::milliseconds(4800)); // too late to end within the deadline
        CPPUNIT_ASSERT(host.failure_of(uncertain).run == run_state::unknown);
    }
};

class home_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(home_test);
    CPPUNIT_TEST(lapsed_lease_starts_no_new_key);
    CPPUNIT_TEST(inherited_seat_refuses_older_keys);
    CPPUNIT_TEST(key_from_the_future_is_refused);
    CPPUNIT_TEST(ticket_of_a_former_incarnation_is_unknown);
    CPPUNIT_TEST(ticket_that_was_not_issued_is_refused);
    CPPUNIT_TEST(expired_ticket_starts_nothing);
    CPPUNIT_TEST(request_without_a_key_needs_no_lease);
    CPPUNIT_TEST_SUITE_END();

  public:
    void lapsed_lease_starts_no_new_key()
    {
        single_host host;
        const caller_key known = host.uuid({}, "known");
        host.submit(known);
        host.finish(done);
        host.wait(lease);
        const call_id fresh = host.submit(host.uuid({}, "fresh"));
        CPPUNIT_ASSERT(host.failure_of(fresh).id == error_id::no_home);
        CPPUNIT_ASSERT(host.failure_of(fresh).run == run_state::unknown);
        const call_id again = host.submit(known);
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(again).value()));
    }

    void inherited_seat_refuses_older_keys()
    {
        const wall_time taken_over = single_host().now.wall;
        single_host host(taken_over);
        const call_id older = host.submit(host.uuid(std::chrono::milliseconds(1)));
        CPPUNIT_ASSERT(host.failure_of(older).id == error_id::home_lost);
        const call_id plain = host.submit(caller_key{.text = "plain"});
        CPPUNIT_ASSERT(host.failure_of(plain).run == run_state::unknown);
        host.wait(std::chrono::milliseconds(2001));
        host.submit(host.uuid({}, "newer"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
    }

    void key_from_the_future_is_refused()
    {
        single_host host;
        const call_id call = host.submit(host.uuid(std::chrono::milliseconds(-1001)));
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::invalid_key);
        CPPUNIT_ASSERT(host.failure_of(call).run == run_state::not_run);
    }

    void ticket_of_a_former_incarnation_is_unknown()
    {
        single_host host;
        const call_id call = host.submit(ticket{.zone = zone_name("a"),
                                                .host = host_name("a1"),
                                                .incarnation = incarnation_id(6),
                                                .sequence = 1});
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::home_lost);
        CPPUNIT_ASSERT(host.failure_of(call).run == run_state::unknown);
    }

    void ticket_that_was_not_issued_is_refused()
    {
        single_host host;
        const call_id call = host.submit(ticket{.zone = zone_name("a"),
                                                .host = host_name("a1"),
                                                .incarnation = incarnation_id(7),
                                                .sequence = 1});
        CPPUNIT_ASSERT(host.failure_of(call).id == error_id::invalid_key);
    }

    void expired_ticket_starts_nothing()
    {
        single_host host;
        host.post(tickets_requested{call_id(50), 2});
        const std::vector<ticket> tickets = host.all<issue_tickets>().front().tickets;
        host.submit(tickets.at(0));
        host.finish(done);
        host.wait(std::chrono::minutes(5));
        const call_id unused = host.submit(tickets.at(1));
        CPPUNIT_ASSERT(host.failure_of(unused).id == error_id::key_expired);
        const call_id used = host.submit(tickets.at(0));
        CPPUNIT_ASSERT(std::holds_alternative<completion>(host.answer_of(used).value()));
    }

    void request_without_a_key_needs_no_lease()
    {
        single_host host;
        host.wait(lease);
        host.submit(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<start_exchange>().size());
    }
};

class shutdown_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(process_stops_after_its_last_answer);
    CPPUNIT_TEST(new_requests_are_refused_after_the_drain_period);
    CPPUNIT_TEST_SUITE_END();

  public:
    void process_stops_after_its_last_answer()
    {
        single_host host;
        host.submit(std::nullopt);
        host.post(shutdown_requested{host.now.steady + std::chrono::seconds(30)});
        host.wait(std::chrono::milliseconds(2000));
        CPPUNIT_ASSERT(host.all<stop_process>().empty());
        host.finish(done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.all<stop_process>().size());
    }

    void new_requests_are_refused_after_the_drain_period()
    {
        single_host host;
        const call_id open = host.submit(std::nullopt);
        host.post(shutdown_requested{host.now.steady + std::chrono::seconds(30)});
        host.submit(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.all<start_exchange>().size());
        host.wait(std::chrono::milliseconds(2000));
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
