#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/http/answer_codec.hpp"
#include "papayafall/wire/http/http_status.hpp"
#include "papayafall/wire/http/json_reader.hpp"
#include "papayafall/wire/http/problem_codec.hpp"
#include "papayafall/wire/http/request_codec.hpp"
#include "papayafall/wire/http/request_key_codec.hpp"
#include "papayafall/wire/http/status_codec.hpp"
#include "papayafall/wire/http/ticket_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <limits>

using namespace papayafall;
using nlohmann::json;

namespace {

constexpr time_point now{std::chrono::seconds(1000)};

/// Returns the error of the request_error that `attempt` throws; fails the test if it throws none.
error_id error_of(const std::function<void()>& attempt)
{
    try {
        attempt();
    } catch (const request_error& ex) {
        return ex.id();
    }
    CPPUNIT_FAIL("no request_error");
    return {};
}

void assert_malformed_job(const std::string& body)
{
    const error_id id = error_of([&] { decode_job("quote", {}, body, now); });
    CPPUNIT_ASSERT_MESSAGE(body.substr(0, 80), id == error_id::malformed_request);
}

class key_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_test);
    CPPUNIT_TEST(ticket_round_trips);
    CPPUNIT_TEST(invalid_ticket_text_is_rejected);
    CPPUNIT_TEST(uuid_v7_carries_its_creation_time);
    CPPUNIT_TEST(other_keys_are_visible_ascii_of_bounded_size);
    CPPUNIT_TEST_SUITE_END();

  public:
    void ticket_round_trips()
    {
        const ticket issued{zone_name("za"), host_name("h-1"), incarnation_id(0x18f),
                            std::numeric_limits<std::uint64_t>::max()};
        const std::string text = encode_ticket(issued);
        CPPUNIT_ASSERT_EQUAL(std::string("t1.za.h-1.18f.ffffffffffffffff"), text);
        CPPUNIT_ASSERT(parse_request_key(text) == request_key(issued));
        CPPUNIT_ASSERT_EQUAL(text, encode_request_key(issued));
    }

    void invalid_ticket_text_is_rejected()
    {
        const std::string long_name(64, 'a');
        for (const std::string& it :
             {std::string("t1."), std::string("t1.za.h"), std::string("t1.za.h.1"),
              std::string("t1.za.h.1."), std::string("t1.za.h.1.2.3"), std::string("t1..h.1.2"),
              std::string("t1.ZA.h.1.2"), std::string("t1.za.h.01.2"), std::string("t1.za.h.1.F"),
              std::string("t1.za.h.1.-2"), std::string("t1.za.h.1.11112222333344445"),
              std::string("t2.za.h.1.2"), "t1." + long_name + ".h.1.2"}) {
            CPPUNIT_ASSERT_MESSAGE(it, error_of([&] { parse_request_key(it); }) ==
                                           error_id::invalid_key);
        }
        CPPUNIT_ASSERT(std::holds_alternative<caller_key>(parse_request_key("ticket.1")));
        CPPUNIT_ASSERT(std::holds_alternative<caller_key>(parse_request_key("t.1")));
    }

    void uuid_v7_carries_its_creation_time()
    {
        const request_key key = parse_request_key("\"017F22E2-79B0-7CC3-98C4-DC0C0C07398F\"");
        const auto& decoded = std::get<caller_key>(key);
        CPPUNIT_ASSERT_EQUAL(std::string("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), decoded.text);
        CPPUNIT_ASSERT(decoded.created_at == wall_time(std::chrono::milliseconds(1645557742000)));
        for (const char* it :
             {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
              "017f22e2079b0-7cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !std::get<caller_key>(parse_request_key(it)).created_at);
        }
    }

    void other_keys_are_visible_ascii_of_bounded_size()
    {
        const std::string longest(max_request_key_length, 'k');
        CPPUNIT_ASSERT(parse_request_key(longest) == request_key(caller_key{.text = longest}));
        for (const std::string& it :
             {std::string(), std::string("\"\""), longest + "k", std::string("a b"),
              std::string("a\tb"), std::string("a\0b", 3), std::string("caf\xc3\xa9")}) {
            CPPUNIT_ASSERT(error_of([&] { parse_request_key(it); }) == error_id::invalid_key);
        }
    }
};

class request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_test);
    CPPUNIT_TEST(headers_are_decoded_into_request_fields);
    CPPUNIT_TEST(malformed_headers_are_rejected);
    CPPUNIT_TEST(job_preserves_task_order_and_bodies);
    CPPUNIT_TEST(malformed_jobs_are_rejected);
    CPPUNIT_TEST(size_of_a_job_is_bounded);
    CPPUNIT_TEST(fingerprint_distinguishes_requests);
    CPPUNIT_TEST(ticket_count_is_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void headers_are_decoded_into_request_fields()
    {
        const request decoded = decode_single_request(
            "quote",
            {.idempotency_key = "k", .team = "desk", .deadline_ms = "250", .urgency = "background"},
            "body", now);
        CPPUNIT_ASSERT(decoded->service == service_name("quote"));
        CPPUNIT_ASSERT(decoded->team == team_name("desk"));
        CPPUNIT_ASSERT(decoded->key == request_key(caller_key{.text = "k"}));
        CPPUNIT_ASSERT(decoded->deadline == now + std::chrono::milliseconds(250));
        CPPUNIT_ASSERT(decoded->urgency == urgency_level::background);
        CPPUNIT_ASSERT(decoded->tasks == std::vector{task{.body = bytes("body")}});

        const request minimal = decode_single_request("quote", {}, "", now);
        CPPUNIT_ASSERT(!minimal->key && minimal->team.empty() && minimal->deadline == no_deadline);
        CPPUNIT_ASSERT(!minimal->urgency);
    }

    void malformed_headers_are_rejected()
    {
        const auto id_of = [](const char* service, const request_headers& headers) {
            return error_of([&] { decode_single_request(service, headers, "", now); });
        };
        for (const char* it : {"", "Quote", "a/b", "a.b", "\xff"}) {
            CPPUNIT_ASSERT(id_of(it, {}) == error_id::malformed_request);
        }
        for (const char* it : {"0", "-1", "1.5", " 1", "1e3", "86400001", "99999999999999999999"}) {
            CPPUNIT_ASSERT(id_of("q", {.deadline_ms = it}) == error_id::malformed_request);
        }
        CPPUNIT_ASSERT(id_of("q", {.urgency = "Urgent"}) == error_id::malformed_request);
        CPPUNIT_ASSERT(id_of("q", {.team = "a b"}) == error_id::malformed_request);
        CPPUNIT_ASSERT(id_of("q", {.idempotency_key = "t1.x"}) == error_id::invalid_key);
    }

    void job_preserves_task_order_and_bodies()
    {
        const request decoded =
            decode_job("quote", {},
                       R"({"tasks":[{"body":"a\u0000b","declared_run_time_ms":7},
                                            {"body":{"x":[1,2.5,null]}},{"body":null}]})",
                       now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decoded->tasks.size());
        CPPUNIT_ASSERT(decoded->tasks[0].body == bytes(std::string("a\0b", 3)));
        CPPUNIT_ASSERT(decoded->tasks[0].declared_run_time == std::chrono::milliseconds(7));
        CPPUNIT_ASSERT(decoded->tasks[1].body == bytes(R"({"x":[1,2.5,null]})"));
        CPPUNIT_ASSERT(decoded->tasks[2].body == bytes("null"));
    }

    void malformed_jobs_are_rejected()
    {
        for (const char* it :
             {"",
              "{",
              "[]",
              "null",
              "{}",
              R"({"tasks":[]})",
              R"({"tasks":{}})",
              R"({"tasks":[1]})",
              R"({"tasks":[{}]})",
              R"({"tasks":[{"body":1}],"more":1})",
              R"({"tasks":[{"body":1,"more":1}]})",
              R"({"tasks":[{"body":1}],"tasks":[]})",
              R"({"tasks":[{"body":1,"body":2}]})",
              R"({"tasks":[{"body":{"a":1,"a":2}}]})",
              R"({"tasks":[{"body":1e999}]})",
              R"({"tasks":[{"body":"\ud800"}]})",
              R"({"tasks":[{"body":1,"declared_run_time_ms":0}]})",
              R"({"tasks":[{"body":1,"declared_run_time_ms":-1}]})",
              R"({"tasks":[{"body":1,"declared_run_time_ms":1.5}]})",
              R"({"tasks":[{"body":1,"declared_run_time_ms":"1"}]})",
              R"({"tasks":[{"body":1,"declared_run_time_ms":18446744073709551615}]})",
              "{\"tasks\":[{\"body\":\"\xff\"}]}",
              R"({"tasks":[{"body":1}]} x)"}) {
            assert_malformed_job(it);
        }
        const std::size_t depth = 300'000;
        assert_malformed_job(R"({"tasks":[{"body":)" + std::string(depth, '[') +
                             std::string(depth, ']') + "}]}");
        assert_malformed_job(std::string(depth, '['));
    }

    void size_of_a_job_is_bounded()
    {
        const auto job_of = [](std::size_t tasks) {
            json list = json::array();
            for (std::size_t n = 0; n < tasks; ++n) {
                list.push_back({{"body", n}});
            }
            return json{{"tasks", list}}.dump();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, decode_job("q", {}, job_of(200), now)->tasks.size());
        CPPUNIT_ASSERT(error_of([&] { decode_job("q", {}, job_of(201), now); }) ==
                       error_id::too_many_tasks);
    }

    void fingerprint_distinguishes_requests()
    {
        const auto single = [](const char* service, const char* team, const char* body) {
            return decode_single_request(service, {.team = team}, body, now)->fingerprint;
        };
        const std::uint64_t base = single("q", "t", "b");
        CPPUNIT_ASSERT_EQUAL(base, single("q", "t", "b"));
        CPPUNIT_ASSERT(base != single("r", "t", "b"));
        CPPUNIT_ASSERT(base != single("q", "u", "b"));
        CPPUNIT_ASSERT(base != single("q", "t", "c"));
        CPPUNIT_ASSERT(single("qt", "", "b") != single("q", "t", "b"));
        const request job = decode_job("q", {.team = "t"}, R"({"tasks":[{"body":"b"}]})", now);
        CPPUNIT_ASSERT(base != job->fingerprint);
    }

    void ticket_count_is_bounded()
    {
        CPPUNIT_ASSERT_EQUAL(1U, decode_ticket_count(""));
        CPPUNIT_ASSERT_EQUAL(1000U, decode_ticket_count(R"({"count":1000})"));
        for (const char* it : {R"({"count":0})", R"({"count":1001})", R"({"count":-1})",
                               R"({"count":"1"})", R"({"count":1,"x":1})", "1", "x"}) {
            CPPUNIT_ASSERT(error_of([&] { decode_ticket_count(it); }) ==
                           error_id::malformed_request);
        }
    }
};

class answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_test);
    CPPUNIT_TEST(job_answer_encodes_each_kind_of_body);
    CPPUNIT_TEST(problem_holds_error_run_state_and_retry_time);
    CPPUNIT_TEST(status_is_valid_json);
    CPPUNIT_TEST_SUITE_END();

  public:
    void job_answer_encodes_each_kind_of_body()
    {
        completion_fields fields;
        for (const char* it : {R"({"n": 1})", "plain \"text\"", "[1", "\xff\x01", "", "\xff"}) {
            fields.answers.push_back({.status = 200, .body = bytes(it)});
        }
        const json document = json::parse(encode_job_answer(completion(fields)));
        const json& answers = document.at("answers");
        CPPUNIT_ASSERT(answers[0] == json({{"status", 200}, {"body", {{"n", 1}}}}));
        CPPUNIT_ASSERT(answers[1].at("body") == "plain \"text\"");
        CPPUNIT_ASSERT(answers[2].at("body") == "[1");
        CPPUNIT_ASSERT(answers[3].at("body_base64") == "/wE=");
        CPPUNIT_ASSERT(answers[4].at("body") == "");
        CPPUNIT_ASSERT(answers[5].at("body_base64") == "/w==");
    }

    void problem_holds_error_run_state_and_retry_time()
    {
        const failure reason{.id = error_id::quota_exceeded,
                             .run = run_state::not_run,
                             .detail = "bad \xff byte",
                             .retry_at = now + std::chrono::milliseconds(1500)};
        const json document = json::parse(encode_problem(reason, http_status(reason.id), now));
        CPPUNIT_ASSERT(document.at("type") == "urn:papayafall:error:quota_exceeded");
        CPPUNIT_ASSERT(document.at("status") == 429);
        CPPUNIT_ASSERT(document.at("id") == 202);
        CPPUNIT_ASSERT(document.at("run") == "not_run");
        CPPUNIT_ASSERT(document.at("retry_after_ms") == 1500);
        CPPUNIT_ASSERT(retry_after(reason, now) == std::chrono::seconds(2));
        CPPUNIT_ASSERT(retry_after(reason, now + std::chrono::hours(1)) == std::chrono::seconds(0));
        CPPUNIT_ASSERT(!retry_after(failure{}, now));
    }

    void status_is_valid_json()
    {
        status_fields fields{.queued_tasks = 3, .ready = true};
        fields.targets.emplace_back(target_state_fields{.entry = {.name = target_name("t\xff")}});
        const json document = json::parse(encode_status(status_snapshot(fields), now));
        CPPUNIT_ASSERT(document.at("ready") == true);
        CPPUNIT_ASSERT(document.at("queued_tasks") == 3);
        CPPUNIT_ASSERT(document.at("targets")[0].at("stage_ends_in_ms").is_null());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_test);
CPPUNIT_TEST_SUITE_REGISTRATION(request_test);
CPPUNIT_TEST_SUITE_REGISTRATION(answer_test);

} // namespace
