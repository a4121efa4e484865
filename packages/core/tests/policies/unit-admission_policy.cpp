#include "support/engine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace papayafall::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class admission_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_policy_test);
    CPPUNIT_TEST(unknown_service_is_refused);
    CPPUNIT_TEST(request_predicted_to_miss_its_deadline_is_refused);
    CPPUNIT_TEST(concurrency_limit_holds_until_a_task_ends);
    CPPUNIT_TEST(rate_limit_refusal_gives_retry_time);
    CPPUNIT_TEST(spent_budget_refusal_gives_end_of_window);
    CPPUNIT_TEST(request_above_cost_limit_is_refused);
    CPPUNIT_TEST_SUITE_END();

  public:
    void unknown_service_is_refused()
    {
        engine_fixture host;
        host.deliver_host_list(1);
        host.submit_request();
        CPPUNIT_ASSERT(last_refusal(host).id == error_id::unknown_service);
    }

    void request_predicted_to_miss_its_deadline_is_refused()
    {
        engine_fixture host;
        start_service(host, {});
        for (int n = 0; n < 200; ++n) {
            host.submit_request(1, milliseconds(1000));
        }
        const failure reason = last_refusal(host);
        CPPUNIT_ASSERT(reason.id == error_id::overloaded);
        CPPUNIT_ASSERT(reason.run == run_state::not_run);
        CPPUNIT_ASSERT(reason.retry_at > host.now().steady);
        CPPUNIT_ASSERT(host.board().queue.size() < 100);
    }

    void concurrency_limit_holds_until_a_task_ends()
    {
        engine_fixture host;
        start_service(host, {.concurrency_limit = 2});
        host.submit_request();
        host.submit_request();
        const auto started = host.take_actions<start_exchange>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started.size());
        host.submit_request();
        CPPUNIT_ASSERT(last_refusal(host).id == error_id::quota_exceeded);
        host.deliver(exchange_finished{started.front().exchange, task_answer{.status = 200}});
        host.take_actions<answer_call>();
        host.submit_request();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.take_actions<start_exchange>().size());
    }

    void rate_limit_refusal_gives_retry_time()
    {
        engine_fixture host;
        start_service(host, {.rate_limit = 2});
        host.submit_request();
        host.submit_request();
        host.take_actions<answer_call>();
        host.submit_request();
        const failure reason = last_refusal(host);
        CPPUNIT_ASSERT(reason.id == error_id::rate_exceeded);
        CPPUNIT_ASSERT(reason.retry_at == host.now().steady + milliseconds(500));
    }

    void spent_budget_refusal_gives_end_of_window()
    {
        engine_fixture host;
        start_service(
            host, {.price_per_slot_second_millionths = 1000, .budget_per_window_millionths = 1500});
        host.submit_request();
        const auto started = host.take_actions<start_exchange>();
        host.advance_time(seconds(2));
        host.deliver(exchange_finished{started.front().exchange, task_answer{.status = 200}});
        const time_point window_end = host.now().steady + seconds(3600);
        host.take_actions<answer_call>();
        host.submit_request();
        const failure reason = last_refusal(host);
        CPPUNIT_ASSERT(reason.id == error_id::budget_exceeded);
        CPPUNIT_ASSERT(reason.retry_at == window_end);
    }

    void request_above_cost_limit_is_refused()
    {
        engine_fixture host;
        start_service(host, {.price_per_slot_second_millionths = 1000,
                             .max_cost_per_request_millionths = 150});
        host.submit_request(2);
        CPPUNIT_ASSERT(last_refusal(host).id == error_id::budget_exceeded);
        host.submit_request(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.take_actions<start_exchange>().size());
    }

  private:
    /// Configures the service and lets two targets finish their slow start.
    static void start_service(engine_fixture& host, const service_configuration& service)
    {
        host.configure(service);
        host.deliver_host_list(2);
        host.advance_time(seconds(2));
        host.take_actions<answer_call>();
    }

    /// Returns the last answer to a caller since the last call of `take_actions`, which
    /// has to be a refusal.
    static failure last_refusal(engine_fixture& host)
    {
        const auto answers = host.take_actions<answer_call>();
        CPPUNIT_ASSERT(!answers.empty());
        return std::get<failure>(answers.back().result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_policy_test);

} // namespace
