#include "papayafall/core/policies/rendezvous_hash.hpp"
#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

exchange_state make_attempt(bool retryable, std::uint32_t attempts)
{
    return exchange_state_fields{
        .work = work_item_fields{.idempotent = retryable, .retryable = retryable},
        .attempts = attempts};
}

class scheduling_policies_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(scheduling_policies_test);
    CPPUNIT_TEST(attempt_with_unknown_outcome_is_retried_only_if_retryable);
    CPPUNIT_TEST(attempts_that_did_not_run_are_limited);
    CPPUNIT_TEST(ten_first_attempts_earn_one_retry);
    CPPUNIT_TEST(long_work_uses_at_most_half_of_the_slots);
    CPPUNIT_TEST(estimate_matches_observed_distribution);
    CPPUNIT_TEST(removed_host_moves_only_its_own_targets);
    CPPUNIT_TEST(overflow_subtracts_tasks_delegated_since_heartbeat);
    CPPUNIT_TEST_SUITE_END();

  public:
    void attempt_with_unknown_outcome_is_retried_only_if_retryable()
    {
        const engine_fixture host;
        const budgeted_retry policy;
        for (const exchange_outcome& it :
             {exchange_outcome(connection_lost{}), exchange_outcome(no_answer{}),
              exchange_outcome(failure{.run = run_state::unknown})}) {
            CPPUNIT_ASSERT(policy.may_retry(make_attempt(true, 1), it, host.board(), host.now()));
            CPPUNIT_ASSERT(!policy.may_retry(make_attempt(false, 1), it, host.board(), host.now()));
        }
    }

    void attempts_that_did_not_run_are_limited()
    {
        const engine_fixture host;
        const budgeted_retry policy(3);
        CPPUNIT_ASSERT(
            policy.may_retry(make_attempt(false, 2), not_sent{}, host.board(), host.now()));
        CPPUNIT_ASSERT(
            !policy.may_retry(make_attempt(false, 3), not_sent{}, host.board(), host.now()));
    }

    void ten_first_attempts_earn_one_retry()
    {
        retry_budget budget;
        while (budget.allows_retry()) {
            budget = budget.with_retry();
        }
        for (int n = 0; n < 9; ++n) {
            budget = budget.with_first_attempt();
        }
        CPPUNIT_ASSERT(!budget.allows_retry());
        CPPUNIT_ASSERT(budget.with_first_attempt().allows_retry());
    }

    void long_work_uses_at_most_half_of_the_slots()
    {
        engine_fixture host;
        host.configure({.time_limit = seconds(600)});
        host.deliver_host_list(2);
        host.advance_time(seconds(2));
        for (int n = 0; n < 30; ++n) { // lets the estimator observe run times of long work
            host.submit_request(1, seconds(600));
            const auto started = host.take_actions<start_exchange>();
            host.advance_time(seconds(5));
            host.deliver(exchange_finished{started.front().exchange, task_answer{.status = 200}});
        }
        host.submit_request(8, seconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, host.take_actions<start_exchange>().size());
        CPPUNIT_ASSERT_EQUAL(4U, host.board().target_slot_totals->long_running);
    }

    void estimate_matches_observed_distribution()
    {
        run_time_estimate estimate;
        for (int n = 0; n < 100; ++n) {
            estimate = estimate.with_observation(milliseconds(n < 90 ? 100 : 1000));
        }
        CPPUNIT_ASSERT(estimate.mean() > milliseconds(160));
        CPPUNIT_ASSERT(estimate.mean() < milliseconds(220));
        CPPUNIT_ASSERT(estimate.quantile(0.5F) < milliseconds(120));
        CPPUNIT_ASSERT(estimate.quantile(0.95F) > milliseconds(900));
    }

    void removed_host_moves_only_its_own_targets()
    {
        const std::vector<host_name> before{host_name("a"), host_name("b"), host_name("c")};
        const std::vector<host_name> after{host_name("a"), host_name("b")};
        for (int n = 0; n < 100; ++n) {
            const std::string target = "target-" + std::to_string(n);
            const host_name owner = *rendezvous_owner(before, target);
            CPPUNIT_ASSERT(owner == host_name("c") || owner == *rendezvous_owner(after, target));
        }
    }

    void overflow_subtracts_tasks_delegated_since_heartbeat()
    {
        engine_fixture host;
        host.configure({.time_limit = seconds(10)});
        host.deliver_heartbeat("entry-2", {.free_slots = 4});
        host.submit_request(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host.take_actions<delegate_work>().size());
        host.deliver_heartbeat("entry-2", {.free_slots = 4});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.take_actions<delegate_work>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduling_policies_test);

} // namespace
