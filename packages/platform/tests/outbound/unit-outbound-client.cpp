#include "papayafall/platform/outbound/outbound_client.hpp"
#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

class outcome_recorder : public outbound_observer {
  public:
    void on_finished(outbound_call_id call, const outbound_outcome& outcome) override
    {
        outcomes.emplace(call.value(), outcome);
    }

    std::map<std::uint64_t, outbound_outcome> outcomes;
};

class outbound_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outbound_client_test);
    CPPUNIT_TEST(post_carries_body_and_headers);
    CPPUNIT_TEST(post_is_not_resent_when_server_closes);
    CPPUNIT_TEST(post_is_not_resent_on_reused_connection);
    CPPUNIT_TEST(empty_post_is_not_resent);
    CPPUNIT_TEST(refused_connection_is_not_sent);
    CPPUNIT_TEST(requests_run_concurrently);
    CPPUNIT_TEST(sequential_requests_reuse_the_connection);
    CPPUNIT_TEST(connection_past_idle_limit_is_not_reused);
    CPPUNIT_TEST(unused_connections_are_closed);
    CPPUNIT_TEST(new_connection_carries_one_request);
    CPPUNIT_TEST(no_answer_discards_silent_connections);
    CPPUNIT_TEST(no_answer_keeps_connections_that_answered_since);
    CPPUNIT_TEST(abandoned_request_closes_its_connection);
    CPPUNIT_TEST(oversized_answer_is_rejected);
    CPPUNIT_TEST(oversized_chunked_answer_is_rejected);
    CPPUNIT_TEST(redirect_is_not_followed);
    CPPUNIT_TEST(truncated_answers_are_lost_connections);
    CPPUNIT_TEST(undelimited_answer_is_malformed);
    CPPUNIT_TEST(error_statuses_are_responses);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        ensure_application();
        server_ = std::make_unique<scripted_server>();
        recorder_ = std::make_unique<outcome_recorder>();
        make_client({});
    }

    void tearDown() override
    {
        client_.reset();
        server_.reset();
    }

    void post_carries_body_and_headers()
    {
        server_->on_request = [](const scripted_request& it) {
            scripted_server::answer(it, "yes");
        };
        const outbound_outcome outcome = post_and_wait("task");

        CPPUNIT_ASSERT_EQUAL(std::string("yes"),
                             std::string(std::get<outbound_response>(outcome)->body.view()));
        const scripted_request& seen = server_->requests.at(0);
        CPPUNIT_ASSERT(seen.body == "task");
        CPPUNIT_ASSERT(seen.head.startsWith("POST /v1/run/quote HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(seen.head.contains("Papayafall-Exchange: 7\r\n"));
        CPPUNIT_ASSERT(!seen.head.contains("gzip"));
    }

    void post_is_not_resent_when_server_closes()
    {
        server_->on_request = [](const scripted_request& it) { it.socket->abort(); };
        expect_failure(outbound_failure::connection_lost, post_and_wait("task"));
        wait_for_unexpected_requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->requests.size());
    }

    void post_is_not_resent_on_reused_connection()
    {
        server_->on_request = [](const scripted_request& it) {
            if (it.body == "first") {
                scripted_server::answer(it);
                return;
            }
            it.socket->disconnectFromHost();
        };
        post_and_wait("first");
        expect_failure(outbound_failure::connection_lost, post_and_wait("second"));
        wait_for_unexpected_requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server_->requests.size());
        CPPUNIT_ASSERT_EQUAL(1, server_->connections);
    }

    void empty_post_is_not_resent()
    {
        server_->on_request = [](const scripted_request& it) { it.socket->abort(); };
        expect_failure(outbound_failure::connection_lost, post_and_wait(""));
        wait_for_unexpected_requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->requests.size());
    }

    void refused_connection_is_not_sent()
    {
        const std::uint16_t port = server_->serverPort();
        server_->close();
        expect_failure(outbound_failure::not_sent, post_and_wait("task", 10s, port));
        expect_failure(outbound_failure::not_sent, post_and_wait("", 10s, port));
    }

    void requests_run_concurrently()
    {
        constexpr std::uint64_t count = 20;
        for (std::uint64_t n = 0; n < count; ++n) {
            post("task", 10s);
        }
        CPPUNIT_ASSERT(run_until([&] { return server_->requests.size() == count; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, client_->in_progress());
        for (const scripted_request& it : server_->requests) {
            scripted_server::answer(it);
        }
        CPPUNIT_ASSERT(run_until([&] { return recorder_->outcomes.size() == count; }));
    }

    void sequential_requests_reuse_the_connection()
    {
        server_->on_request = [](const scripted_request& it) { scripted_server::answer(it); };
        for (int n = 0; n < 10; ++n) {
            post_and_wait("task");
        }
        CPPUNIT_ASSERT_EQUAL(1, server_->connections);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client_->counters().connections_opened);
    }

    void connection_past_idle_limit_is_not_reused()
    {
        make_client({.max_idle_time = 1ms});
        server_->on_request = [](const scripted_request& it) { scripted_server::answer(it); };
        post_and_wait("task");
        wait_for_unexpected_requests();
        post_and_wait("task");
        CPPUNIT_ASSERT_EQUAL(2, server_->connections);
    }

    void unused_connections_are_closed()
    {
        make_client({.max_idle_time = 1ms});
        server_->on_request = [](const scripted_request& it) { scripted_server::answer(it); };
        post_and_wait("task");
        CPPUNIT_ASSERT(run_until([&] { return server_->closed_connections == 1; }));
    }

    void new_connection_carries_one_request()
    {
        server_->on_request = [](const scripted_request& it) { scripted_server::answer(it); };
        post_and_wait("task");
        for (int n = 0; n < 3; ++n) {
            const outbound_call_id call = post("task", 10s, {}, true);
            CPPUNIT_ASSERT(run_until([&] { return recorder_->outcomes.contains(call.value()); }));
        }
        CPPUNIT_ASSERT_EQUAL(4, server_->connections);
        CPPUNIT_ASSERT(run_until([&] { return server_->closed_connections == 3; }, 1s));
        post_and_wait("task");
        CPPUNIT_ASSERT_EQUAL(4, server_->connections);
    }

    void no_answer_discards_silent_connections()
    {
        server_->on_request = [](const scripted_request& it) {
            if (it.connection > 2 || it.body == "first") {
                scripted_server::answer(it);
            }
        };
        post("first", 10s);
        post("first", 10s);
        CPPUNIT_ASSERT(run_until([&] { return recorder_->outcomes.size() == 2; }));
        expect_failure(outbound_failure::no_answer, post_and_wait("second", 50ms));
        const outbound_outcome outcome = post_and_wait("third");

        CPPUNIT_ASSERT(std::holds_alternative<outbound_response>(outcome));
        CPPUNIT_ASSERT_EQUAL(3, server_->connections);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client_->counters().connections_renewed);
    }

    void no_answer_keeps_connections_that_answered_since()
    {
        server_->on_request = [](const scripted_request& it) {
            if (it.body == "answered") {
                scripted_server::answer(it);
            }
        };
        const outbound_call_id silent = post("ignored", 200ms);
        post_and_wait("answered");
        CPPUNIT_ASSERT(run_until([&] { return recorder_->outcomes.contains(silent.value()); }));
        post_and_wait("answered");
        CPPUNIT_ASSERT_EQUAL(2, server_->connections);
    }

    void abandoned_request_closes_its_connection()
    {
        const outbound_call_id call = post("task", 10s);
        CPPUNIT_ASSERT(run_until([&] { return server_->requests.size() == 1; }));
        client_->abandon(call);
        client_->abandon(call);
        expect_failure(outbound_failure::connection_lost, recorder_->outcomes.at(call.value()));
        CPPUNIT_ASSERT(run_until([&] { return server_->closed_connections == 1; }));
    }

    void oversized_answer_is_rejected()
    {
        make_client({.max_response_bytes = 10});
        server_->on_request = [](const scripted_request& it) {
            scripted_server::answer(it, QByteArray(it.body == "fits" ? 10 : 11, 'x'));
        };
        CPPUNIT_ASSERT(std::holds_alternative<outbound_response>(post_and_wait("fits")));
        expect_failure(outbound_failure::answer_too_large, post_and_wait("over"));
    }

    void oversized_chunked_answer_is_rejected()
    {
        make_client({.max_response_bytes = 10});
        server_->on_request = [](const scripted_request& it) {
            it.socket->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "b\r\nxxxxxxxxxxx\r\n");
        };
        expect_failure(outbound_failure::answer_too_large, post_and_wait("task"));
    }

    void redirect_is_not_followed()
    {
        server_->on_request = [](const scripted_request& it) {
            it.socket->write("HTTP/1.1 " + it.body + " Elsewhere\r\nLocation: /elsewhere\r\n" +
                             "Content-Length: 0\r\n\r\n");
        };
        for (const char* it : {"303", "307"}) {
            const outbound_outcome outcome = post_and_wait(it);
            CPPUNIT_ASSERT_EQUAL(std::string(it),
                                 std::to_string(std::get<outbound_response>(outcome)->status));
        }
        wait_for_unexpected_requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server_->requests.size());
    }

    void truncated_answers_are_lost_connections()
    {
        server_->on_request = [](const scripted_request& it) {
            const bool chunked = it.body == "chunked";
            it.socket->write(chunked
                                 ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
                                 : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
            it.socket->disconnectFromHost();
        };
        expect_failure(outbound_failure::connection_lost, post_and_wait("sized"));
        expect_failure(outbound_failure::connection_lost, post_and_wait("chunked"));
    }

    void undelimited_answer_is_malformed()
    {
        server_->on_request = [](const scripted_request& it) {
            it.socket->write("HTTP/1.1 200 OK\r\n\r\nab");
            it.socket->disconnectFromHost();
        };
        expect_failure(outbound_failure::answer_malformed, post_and_wait("task"));
    }

    void error_statuses_are_responses()
    {
        server_->on_request = [](const scripted_request& it) {
            it.socket->write("HTTP/1.1 " + it.body + " Some\r\nContent-Length: 2\r\n\r\nno");
        };
        for (const char* it :
             {"204", "400", "401", "403", "404", "409", "418", "429", "500", "503"}) {
            const outbound_outcome outcome = post_and_wait(it);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                it, std::string(it), std::to_string(std::get<outbound_response>(outcome)->status));
        }
    }

  private:
    void make_client(const outbound_options& options)
    {
        client_ = std::make_unique<outbound_client>(options, clock_, *recorder_);
    }

    outbound_call_id post(const std::string& body, duration time_limit,
                          std::optional<std::uint16_t> port = {}, bool new_connection = false)
    {
        last_id_ = last_id_.next();
        client_->send(last_id_, outbound_request(outbound_request_fields{
                                    .server = {.address = "127.0.0.1",
                                               .port = port.value_or(server_->serverPort())},
                                    .path = "/v1/run/quote",
                                    .headers = {{.name = "Papayafall-Exchange", .value = "7"}},
                                    .body = bytes(body),
                                    .deadline = clock_.read().steady + time_limit,
                                    .new_connection = new_connection}));
        return last_id_;
    }

    outbound_outcome post_and_wait(const std::string& body, duration time_limit = 10s,
                                   std::optional<std::uint16_t> port = {})
    {
        const outbound_call_id call = post(body, time_limit, port);
        CPPUNIT_ASSERT(run_until([&] { return recorder_->outcomes.contains(call.value()); }));
        return recorder_->outcomes.at(call.value());
    }

    /// Waits so that an unexpected further request would be seen.
    static void wait_for_unexpected_requests()
    {
        run_until([] { return false; }, 50ms);
    }

    static void expect_failure(outbound_failure expected, const outbound_outcome& outcome)
    {
        CPPUNIT_ASSERT(std::holds_alternative<outbound_failure>(outcome));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                             static_cast<int>(std::get<outbound_failure>(outcome)));
    }

    system_clock_source clock_;
    std::unique_ptr<scripted_server> server_;
    std::unique_ptr<outcome_recorder> recorder_;
    std::unique_ptr<outbound_client> client_;
    outbound_call_id last_id_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outbound_client_test);

} // namespace
