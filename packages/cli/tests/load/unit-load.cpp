#include "papayafall/cli/load/load_protocol.hpp"
#include "papayafall/cli/load/load_runner.hpp"
#include "papayafall/cli/load/load_summary.hpp"
#include "papayafall/core/errors/exception.hpp"
#include "support/scripted_server.hpp"
#include "support/test_application.hpp"

#include <QThread>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace papayafall;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

load_plan small_plan()
{
    return {.hosts = {{.address = "127.0.0.1", .port = 1}, {.address = "127.0.0.1", .port = 2}},
            .base_rate_per_s = 100,
            .run_length = 10s,
            .seed = 7,
            .run_name = "t"};
}

/// Entry host in its own thread that answers every request immediately.
class stand_in_entry_host {
  public:
    stand_in_entry_host()
    {
        context_.moveToThread(&thread_);
        thread_.start();
        on_thread([this] {
            server_ = std::make_unique<scripted_server>();
            port_ = server_->serverPort();
            server_->on_request = [](const scripted_request& it) { answer(it); };
        });
    }

    stand_in_entry_host(const stand_in_entry_host&) = delete;
    stand_in_entry_host& operator=(const stand_in_entry_host&) = delete;

    ~stand_in_entry_host()
    {
        on_thread([this] { server_.reset(); });
        thread_.quit();
        thread_.wait();
    }

    endpoint address() const { return {.address = "127.0.0.1", .port = port_}; }

    std::vector<QByteArray> received_heads()
    {
        std::vector<QByteArray> result;
        on_thread([&] {
            for (const scripted_request& it : server_->requests) {
                result.push_back(it.head);
            }
        });
        return result;
    }

  private:
    static json run(const json& task) { return {{"id", task.at("id")}}; }

    static void answer(const scripted_request& it)
    {
        if (!it.head.startsWith("POST")) {
            scripted_server::answer(it);
            return;
        }
        const json body = json::parse(it.body.toStdString());
        if (!body.contains("tasks")) {
            scripted_server::answer(it, QByteArray::fromStdString(run(body).dump()));
            return;
        }
        json answers = json::array();
        for (const json& task : body.at("tasks")) {
            answers.push_back({{"status", 200}, {"body", run(task.at("body"))}});
        }
        scripted_server::answer(it, QByteArray::fromStdString(json{{"answers", answers}}.dump()));
    }

    template <typename Call>
    void on_thread(Call&& call)
    {
        QMetaObject::invokeMethod(&context_, std::forward<Call>(call),
                                  Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject context_;
    std::unique_ptr<scripted_server> server_;
    std::uint16_t port_ = 0;
};

class load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_test);
    CPPUNIT_TEST(same_seed_gives_the_same_requests);
    CPPUNIT_TEST(crest_has_four_times_the_base_rate);
    CPPUNIT_TEST(long_tasks_use_their_service_or_are_left_out);
    CPPUNIT_TEST(resubmission_goes_to_another_host_with_a_key);
    CPPUNIT_TEST(quantiles_are_exact);
    CPPUNIT_TEST(answer_to_another_request_is_wrong);
    CPPUNIT_TEST(partial_job_answer_is_wrong);
    CPPUNIT_TEST(problems_are_classified);
    CPPUNIT_TEST(every_send_gives_one_sample);
    CPPUNIT_TEST(host_without_listener_is_unreachable);
    CPPUNIT_TEST(summary_is_json);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void same_seed_gives_the_same_requests()
    {
        load_plan other = small_plan();
        CPPUNIT_ASSERT(plan_requests(small_plan()) == plan_requests(other));
        other.seed = 8;
        CPPUNIT_ASSERT(plan_requests(small_plan()) != plan_requests(other));
    }

    void crest_has_four_times_the_base_rate()
    {
        load_plan plan = small_plan();
        plan.profile = load_profile_kind::step;
        plan.run_length = 30s;
        const auto requests = plan_requests(plan);
        const auto crest = std::ranges::count_if(
            requests, [](const auto& it) { return it->phase == load_phase::crest; });
        const auto calm = static_cast<std::ptrdiff_t>(requests.size()) - crest;
        CPPUNIT_ASSERT(crest > 3800 && crest < 4200);
        CPPUNIT_ASSERT(calm > 1850 && calm < 2150);
    }

    void long_tasks_use_their_service_or_are_left_out()
    {
        load_plan plan = small_plan();
        plan.long_service = service_name("survey");
        std::size_t long_requests = 0;
        for (const planned_request& it : plan_requests(plan)) {
            const bool is_long = it->run_class == run_time_class::long_run;
            long_requests += is_long ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(is_long, it->service == plan.long_service);
        }
        CPPUNIT_ASSERT(long_requests > 0);
        plan.short_tasks_only = true;
        for (const planned_request& it : plan_requests(plan)) {
            CPPUNIT_ASSERT(it->run_class == run_time_class::short_run);
        }
    }

    void resubmission_goes_to_another_host_with_a_key()
    {
        std::size_t resubmitted = 0;
        for (const planned_request& it : plan_requests(small_plan())) {
            if (!it->resubmission) {
                continue;
            }
            ++resubmitted;
            CPPUNIT_ASSERT(it->keyed);
            CPPUNIT_ASSERT(it->resubmission->host_index != it->first_send.host_index);
            CPPUNIT_ASSERT(it->resubmission->offset >= it->first_send.offset);
        }
        CPPUNIT_ASSERT(resubmitted > 0);
    }

    void quantiles_are_exact()
    {
        std::vector<duration> times;
        for (int n = 1000; n > 0; --n) {
            times.emplace_back(n);
        }
        const load_quantiles quantiles = make_quantiles(times);
        CPPUNIT_ASSERT(quantiles.mean == duration(500));
        CPPUNIT_ASSERT(quantiles.p50 == duration(500));
        CPPUNIT_ASSERT(quantiles.p99 == duration(990));
        CPPUNIT_ASSERT(quantiles.p999 == duration(999));
        CPPUNIT_ASSERT(quantiles.max == duration(1000));
        CPPUNIT_ASSERT(make_quantiles({}) == load_quantiles{});
    }

    void answer_to_another_request_is_wrong()
    {
        const planned_request planned = make_request(1);
        CPPUNIT_ASSERT(classify(planned, 200, R"({"id":"0"})", 1ms) == load_outcome::in_time);
        CPPUNIT_ASSERT(classify(planned, 200, R"({"id":"0"})", 2s) == load_outcome::late);
        for (const char* it : {R"({"id":"9"})", R"({"id":0})", "{}", "", "[]"}) {
            CPPUNIT_ASSERT(classify(planned, 200, it, 1ms) == load_outcome::wrong_answer);
        }
    }

    void partial_job_answer_is_wrong()
    {
        const planned_request planned = make_request(2, true);
        const auto answer = [](const std::string& list) { return R"({"answers":[)" + list + "]}"; };
        const std::string first = R"({"status":200,"body":{"id":"0"}})";
        const std::string second = R"({"status":200,"body":{"id":"1"}})";
        CPPUNIT_ASSERT(classify(planned, 200, answer(first + "," + second), 1ms) ==
                       load_outcome::in_time);
        CPPUNIT_ASSERT(classify(planned, 200, answer(first), 1ms) == load_outcome::wrong_answer);
        CPPUNIT_ASSERT(classify(planned, 200, answer(second + "," + first), 1ms) ==
                       load_outcome::wrong_answer);
    }

    void problems_are_classified()
    {
        const planned_request planned = make_request(1);
        const char* not_run = R"({"run":"not_run"})";
        CPPUNIT_ASSERT(classify(planned, 429, not_run, 1ms) == load_outcome::refused_early);
        CPPUNIT_ASSERT(classify(planned, 429, not_run, 900ms) == load_outcome::refused_late);
        CPPUNIT_ASSERT(classify(planned, 502, R"({"run":"ran"})", 1ms) == load_outcome::failed);
        CPPUNIT_ASSERT(classify(planned, 502, R"({"run":"unknown"})", 1ms) ==
                       load_outcome::unknown);
        CPPUNIT_ASSERT(classify(planned, 500, "", 1ms) == load_outcome::unknown);
        CPPUNIT_ASSERT(classify(planned, 409,
                                R"({"type":"urn:papayafall:error:cancelled","run":"ran"})",
                                1ms) == load_outcome::cancelled);
    }

    void every_send_gives_one_sample()
    {
        stand_in_entry_host first;
        stand_in_entry_host second;
        load_plan plan = small_plan();
        plan.hosts = {first.address(), second.address()};
        plan.run_length = 1s;
        plan.resubmitted_share = 0.2;
        plan.time_scale = 0.1;
        const auto requests = plan_requests(plan);
        const auto samples = run_load(plan, requests, clock_);

        std::set<std::pair<std::uint64_t, load_send_kind>> seen;
        for (const load_sample& it : samples) {
            CPPUNIT_ASSERT(it.outcome == load_outcome::in_time || it.outcome == load_outcome::late);
            CPPUNIT_ASSERT(seen.emplace(it.request->number, it.kind).second);
        }
        CPPUNIT_ASSERT_EQUAL(count_sends(requests), samples.size());
        CPPUNIT_ASSERT_EQUAL(samples.size(),
                             first.received_heads().size() + second.received_heads().size());
        CPPUNIT_ASSERT(std::ranges::any_of(first.received_heads(), [](const QByteArray& it) {
            return it.contains("Idempotency-Key: ") && it.contains("Papayafall-Deadline-Ms: ");
        }));
    }

    void host_without_listener_is_unreachable()
    {
        load_plan plan = small_plan();
        plan.hosts = {{.address = "127.0.0.1", .port = 1}};
        plan.run_length = 100ms;
        for (const load_sample& it : run_load(plan, plan_requests(plan), clock_)) {
            CPPUNIT_ASSERT(it.outcome == load_outcome::unreachable ||
                           it.kind == load_send_kind::cancellation);
        }
        CPPUNIT_ASSERT_THROW(measure_round_trip(plan, clock_), platform_error);
    }

    void summary_is_json()
    {
        const std::vector<load_sample> samples{
            {.request = make_request(1), .outcome = load_outcome::in_time, .response_time = 20ms},
            {.request = make_request(1), .outcome = load_outcome::failed, .response_time = 1ms}};
        const load_summary summary = summarise(samples, 1ms);
        const json document = json::parse(encode_summary(summary));
        const json& all = document.at("groups").at(0);
        CPPUNIT_ASSERT_EQUAL(2, all.at("count").get<int>());
        CPPUNIT_ASSERT_EQUAL(0.5, all.at("shares").at("failed").get<double>());
        CPPUNIT_ASSERT_EQUAL(9.0, all.at("excess_ms").at("p50").get<double>());
        CPPUNIT_ASSERT(format_summary(summary).find("short calm") != std::string::npos);
    }

  private:
    static planned_request make_request(std::size_t tasks, bool job = false)
    {
        planned_request_fields fields{.is_job = job, .longest_run_time = 10ms, .time_limit = 1s};
        for (std::size_t n = 0; n < tasks; ++n) {
            fields.tasks.push_back({.id = std::to_string(n)});
        }
        return {std::move(fields)};
    }

    static load_outcome classify(const planned_request& planned, std::uint16_t status,
                                 const std::string& body, duration response_time)
    {
        const outbound_response answer(
            outbound_response_fields{.status = status, .body = bytes(body)});
        return classify_load_answer(planned, load_send_kind::first, answer, response_time);
    }

    static std::size_t count_sends(const std::vector<planned_request>& requests)
    {
        std::size_t n = requests.size();
        for (const planned_request& it : requests) {
            n += (it->resubmission ? 1U : 0U) + (it->cancellation ? 1U : 0U);
        }
        return n;
    }

    system_clock_source clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

} // namespace
