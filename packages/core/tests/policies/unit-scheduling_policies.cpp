#include "papayafall/core/policies/rendezvous_hash.hpp"
#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

exchange_state attempt(bool retryable, std::uint32_t attempts)
{
    return exchange_state_fields{
        .work = work_item_fields{.idempotent = retryable, .retryable = retryable},
        .attempts = attempts};
}

class scheduling_policies_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(scheduling_policies_test);
    CPPUNIT_TEST(what_may_have_run_is_repeated_only_where_retryable);
    CPPUNIT_TEST(what_did_not_run_is_repeated_a_bounded_number_of_times);
    CPPUNIT_TEST(retry_budget_is_a_share_of_the_traffic);
    CPPUNIT_TEST(long_work_leaves_slots_to_short_work);
    CPPUNIT_TEST(estimate_follows_what_was_observed);
    CPPUNIT_TEST(few_targets_change_hands_with_a_host);
    CPPUNIT_TEST(overflow_subtracts_what_was_delegated);
    CPPUNIT_TEST_SUITE_END();

  public:
    void what_may_have_run_is_repeated_only_where_retryable()
    {
        const engine_fixture host;
        const budgeted_retry policy;
        for (const exchange_outcome& it :
             {exchange_outcome(connection_lost{}), exchange_outcome(no_answer{}),
              exchange_outcome(failure{.run = run_state::unknown})}) {
            CPPUNIT_ASSERT(policy.may_retry(attempt(true, 1), it, host.board(), host.now()));
            CPPUNIT_ASSERT(!policy.may_retry(attempt(false, 1), it, host.board(), host.now()));
        }
    }

    void what_did_not_run_is_repeated_a_bounded_number_of_times()
    {
        const engine_fixture host;
        const budgeted_retry policy(3);
        CPPUNIT_ASSERT(policy.may_retry(attempt(false, 2), not_sent{}, host.board(), host.now()));
        CPPUNIT_ASSERT(!policy.may_retry(attempt(false, 3), not_sent{}, host.board(), host.now()));
    }

    void retry_budget_is_a_share_of_the_traffic()
    {
        retry_budget budget;
        while (budget.covers_retry()) {
            budget = budget.with_retry();
        }
        for (int n = 0; n < 9; ++n) {
            budget = budget.with_first_attempt();
        }
        CPPUNIT_ASSERT(!budget.covers_retry());
        CPPUNIT_ASSERT(budget.with_first_attempt().covers_retry());
    }

    void long_work_leaves_slots_to_short_work()
    {
        engine_fixture host;
        host.configure({.time_limit = seconds(600)});
        host.deliver_host_list(2);
        host.advance_time(seconds(2));
        for (int n = 0; n < 30; ++n) { // teaches that the service is long
            host.submit_request(1, seconds(600));
            const auto started = host.take_actions<start_exchange>();
            host.advance_time(seconds(5));
            host.deliver(exchange_finished{started.front().exchange, task_answer{.status = 200}});
        }
        host.submit_request(8, seconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, host.take_actions<start_exchange>().size());
        CPPUNIT_ASSERT_EQUAL(4U, host.board().totals->long_running);
    }

    void estimate_follows_what_was_observed()
    {
        run_time_estimate estimate;
        for (int n = 0; n < 100; ++n) {
            estimate = estimate.with_observed(milliseconds(n < 90 ? 100 : 1000));
        }
        CPPUNIT_ASSERT(estimate.mean() > milliseconds(160));
        CPPUNIT_ASSERT(estimate.mean() < milliseconds(220));
        CPPUNIT_ASSERT(estimate.quantile(0.5F) < milliseconds(120));
        CPPUNIT_ASSERT(estimate.quantile(0.95F) > milliseconds(900));
    }

    void few_targets_change_hands_with_a_host()
    {
        const std::vector<host_name> before{host_name("a"), host_name("b"), host_name("c")};
        const std::vector<host_name> after{host_name("a"), host_name("b")};
        for (int n = 0; n < 100; ++n) {
            const std::string target = "target-" + std::to_string(n);
            const host_name owner = *rendezvous_owner(before, target);
            CPPUNIT_ASSERT(owner == host_name("c") || owner == *rendezvous_owner(after, target));
        }
    }

    void overflow_subtracts_what_was_delegated()
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
