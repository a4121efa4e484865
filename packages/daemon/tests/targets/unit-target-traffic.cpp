#include "papayafall/daemon/targets/target_traffic.hpp"
#include "support/stand_in_target.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

/// Records the outcomes of exchanges; thread-safe.
class outcome_recorder : public event_sink {
  public:
    void post(event incoming) override
    {
        const std::lock_guard lock(mutex_);
        const auto& it = std::get<exchange_finished>(incoming);
        ++finished_count_;
        outcomes_.emplace(it.exchange, it.outcome);
        changed_.notify_all();
    }

    bool wait_for(std::size_t finished_count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, 10s, [&] { return finished_count_ >= finished_count; });
    }

    exchange_outcome outcome(exchange_id id)
    {
        const std::lock_guard lock(mutex_);
        return outcomes_.at(id);
    }

    std::size_t finished_count()
    {
        const std::lock_guard lock(mutex_);
        return finished_count_;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<exchange_id, exchange_outcome> outcomes_;
    std::size_t finished_count_ = 0;
};

class target_traffic_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_traffic_test);
    CPPUNIT_TEST(task_runs_once_and_is_answered);
    CPPUNIT_TEST(eight_tasks_run_concurrently);
    CPPUNIT_TEST(full_target_refuses_without_running);
    CPPUNIT_TEST(leaving_target_is_marked_in_the_refusal);
    CPPUNIT_TEST(failed_task_is_reported_as_run);
    CPPUNIT_TEST(closed_connection_is_reported_lost_and_task_starts_once);
    CPPUNIT_TEST(non_idempotent_work_gets_a_new_connection);
    CPPUNIT_TEST(unreachable_target_yields_not_sent);
    CPPUNIT_TEST(silent_connection_is_replaced);
    CPPUNIT_TEST(abandoned_exchange_ends_once);
    CPPUNIT_TEST(every_exchange_ends_once_over_many_targets);
    CPPUNIT_TEST(metrics_count_outcomes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        ensure_application();
        events_ = std::make_unique<outcome_recorder>();
        metrics_ = std::make_unique<prometheus::Registry>();
        targets_ =
            std::make_unique<stand_in_targets>(2, stand_in_options{.slots = 8, .run_time = 1ms});
        traffic_ = std::make_unique<target_traffic>(target_traffic_options{.threads = 2}, clock_,
                                                    *events_, *metrics_);
    }

    void tearDown() override
    {
        traffic_.reset();
        targets_.reset();
    }

    void task_runs_once_and_is_answered()
    {
        const auto answer = std::get<task_answer>(run(R"({"id":"a"})"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"id":"a","service":"quote"})"),
                             std::string(answer.body.view()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, targets_->starts().at("a"));
    }

    void eight_tasks_run_concurrently()
    {
        for (int n = 0; n < 8; ++n) {
            start(R"({"id":"a","run_ms":300})");
        }
        CPPUNIT_ASSERT(events_->wait_for(8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, targets_->counts().max_running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, targets_->counts().connections);
    }

    void full_target_refuses_without_running()
    {
        std::array<exchange_id, 9> ids;
        for (exchange_id& it : ids) {
            it = start(R"({"id":"a","run_ms":300})");
        }
        CPPUNIT_ASSERT(events_->wait_for(9));
        const auto refused = std::count_if(ids.begin(), ids.end(), [&](exchange_id it) {
            return events_->outcome(it) == exchange_outcome(target_refused{.leaving = false});
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, targets_->starts().at("a"));
    }

    void leaving_target_is_marked_in_the_refusal()
    {
        targets_->set_mode(stand_in_mode::leaving);
        CPPUNIT_ASSERT(run("{}") == exchange_outcome(target_refused{.leaving = true}));
    }

    void failed_task_is_reported_as_run()
    {
        targets_->set_mode(stand_in_mode::fail);
        const auto reason = std::get<failure>(run("{}"));
        CPPUNIT_ASSERT(reason.id == error_id::task_failed);
        CPPUNIT_ASSERT(reason.run == run_state::ran);
    }

    void closed_connection_is_reported_lost_and_task_starts_once()
    {
        run(R"({"id":"warm"})");
        targets_->set_mode(stand_in_mode::close);
        CPPUNIT_ASSERT(run(R"({"id":"a"})") == exchange_outcome(connection_lost{}));
        CPPUNIT_ASSERT(run(R"({"id":"b"})") == exchange_outcome(connection_lost{}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, targets_->starts().at("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, targets_->starts().at("b"));
    }

    void non_idempotent_work_gets_a_new_connection()
    {
        run("{}");
        idempotent_ = false;
        run("{}");
        run("{}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, targets_->counts().connections);
    }

    void unreachable_target_yields_not_sent()
    {
        const std::uint16_t port = targets_->port();
        targets_.reset();
        const exchange_id id = start("{}", port);
        CPPUNIT_ASSERT(events_->wait_for(1));
        CPPUNIT_ASSERT(events_->outcome(id) == exchange_outcome(not_sent{}));
    }

    void silent_connection_is_replaced()
    {
        run("{}");
        targets_->set_mode(stand_in_mode::silent);
        CPPUNIT_ASSERT(run("{}", 100ms) == exchange_outcome(no_answer{}));
        CPPUNIT_ASSERT(std::holds_alternative<task_answer>(run("{}")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, targets_->counts().connections);
    }

    void abandoned_exchange_ends_once()
    {
        const exchange_id id = start(R"({"id":"a","run_ms":200})");
        traffic_->post(abandon_exchange{.exchange = id});
        CPPUNIT_ASSERT(events_->wait_for(1));
        const exchange_outcome outcome = events_->outcome(id);
        CPPUNIT_ASSERT(outcome == exchange_outcome(not_sent{}) ||
                       outcome == exchange_outcome(connection_lost{}));
        run(R"({"id":"b","run_ms":300})");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events_->finished_count());
    }

    void every_exchange_ends_once_over_many_targets()
    {
        constexpr std::size_t rounds = 50;
        std::size_t started = 0;
        for (std::size_t round = 0; round < rounds; ++round) {
            for (std::size_t n = 0; n < 16; ++n) {
                const std::string id = std::to_string(started++);
                start(R"({"id":")" + id + R"("})", targets_->port(n % 2));
            }
            CPPUNIT_ASSERT(events_->wait_for(started));
        }
        CPPUNIT_ASSERT_EQUAL(started, events_->finished_count());
        for (const auto& [id, count] : targets_->starts()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::uint64_t{1}, count);
        }
    }

    void metrics_count_outcomes()
    {
        run("{}");
        targets_->set_mode(stand_in_mode::fail);
        run("{}");
        const std::string text = prometheus::TextSerializer().Serialize(metrics_->Collect());
        const auto contains = [&](const char* line) { return text.find(line) != text.npos; };
        CPPUNIT_ASSERT(contains("papayafall_target_exchanges_total{outcome=\"answered\"} 1\n"));
        CPPUNIT_ASSERT(contains("papayafall_target_exchanges_total{outcome=\"failed\"} 1\n"));
        CPPUNIT_ASSERT(contains("papayafall_target_exchanges_in_flight 0\n"));
        CPPUNIT_ASSERT(contains("papayafall_target_connections_opened_total 1\n"));
    }

  private:
    exchange_id start(const std::string& body, std::optional<std::uint16_t> port = {},
                      duration time_limit = 10s)
    {
        last_ = last_.next();
        traffic_->post(start_exchange{
            .exchange = last_,
            .target = target_name("t"),
            .address = {.address = "127.0.0.1", .port = port ? *port : targets_->port()},
            .work = work_item(work_item_fields{
                .service = service_name("quote"), .idempotent = idempotent_, .body = bytes(body)}),
            .deadline = clock_.read().steady + time_limit});
        return last_;
    }

    exchange_outcome run(const std::string& body, duration time_limit = 10s)
    {
        const std::size_t finished_count = events_->finished_count();
        const exchange_id id = start(body, {}, time_limit);
        CPPUNIT_ASSERT(events_->wait_for(finished_count + 1));
        return events_->outcome(id);
    }

    system_clock_source clock_;
    std::unique_ptr<outcome_recorder> events_;
    std::unique_ptr<prometheus::Registry> metrics_;
    std::unique_ptr<stand_in_targets> targets_;
    std::unique_ptr<target_traffic> traffic_;
    exchange_id last_;
    bool idempotent_ = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_traffic_test);

} // namespace
