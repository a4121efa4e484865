#include "papayafall/daemon/http/front_end.hpp"

#include "papayafall/core/errors/exception.hpp"

#include "http/raw_client.hpp"
#include "http/scripted_core.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <chrono>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

using namespace papayafall;
using papayafall::test::raw_client;
using papayafall::test::scripted_core;

namespace {

std::string make_post(const std::string& path, const std::string& body,
                      const std::string& headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

const std::string quote_path = "/v1/services/quote/requests";

bool has_status(const std::string& response, int status)
{
    return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Heap memory in use by this process, in bytes.
std::size_t allocated_bytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A running front end connected to a scripted core.
class front_end_fixture {
  public:
    explicit front_end_fixture(const front_end_options& options = {})
        : front(with_application(options), clock, core, registry)
    {
        front.start();
    }

    system_clock_source clock;
    scripted_core core;
    prometheus::Registry registry;
    front_end front;

  private:
    /// Creates the application object, which must exist before the first thread starts.
    static const front_end_options& with_application(const front_end_options& options)
    {
        ensure_application();
        return options;
    }
};

class calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(calls_test);
    CPPUNIT_TEST(many_requests_share_a_connection);
    CPPUNIT_TEST(pipelined_requests_get_their_own_answers_in_order);
    CPPUNIT_TEST(caller_disconnect_is_reported_once);
    CPPUNIT_TEST(jobs_tickets_and_cancellations_reach_the_core);
    CPPUNIT_TEST(answers_are_routed_to_the_thread_of_their_call);
    CPPUNIT_TEST(failure_is_encoded_as_problem_details);
    CPPUNIT_TEST(pages_show_the_published_status);
    CPPUNIT_TEST_SUITE_END();

  public:
    void many_requests_share_a_connection()
    {
        front_end_fixture server;
        server.core.echo_to(server.front);
        raw_client client(server.front.port());
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(client.send(make_post(quote_path, "body " + std::to_string(n))));
            const std::string response = client.read_response();
            CPPUNIT_ASSERT_MESSAGE(response, has_status(response, 200));
            CPPUNIT_ASSERT(response.ends_with("\r\n\r\nbody " + std::to_string(n)));
        }
    }

    void pipelined_requests_get_their_own_answers_in_order()
    {
        front_end_fixture server;
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_post(quote_path, "first") +
                                   make_post(quote_path, "second") + make_get("/healthz")));
        const auto first = server.core.find<request_received>();
        CPPUNIT_ASSERT(first);
        // The health page needs no answer from the core. It must not overtake the pending requests,
        // and the second request must not be read before the first one is answered.
        raw_client other(server.front.port());
        CPPUNIT_ASSERT(other.send(make_get("/healthz")));
        CPPUNIT_ASSERT(has_status(other.read_response(), 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.core.count<request_received>());

        server.front.post(answer_call{first->call, scripted_core::echo_answer(first->content)});
        CPPUNIT_ASSERT(client.read_response().ends_with("first"));
        const auto second = server.core.find<request_received>(1);
        CPPUNIT_ASSERT(second);
        server.front.post(answer_call{second->call, scripted_core::echo_answer(second->content)});
        CPPUNIT_ASSERT(client.read_response().ends_with("second"));
        CPPUNIT_ASSERT(has_status(client.read_response(), 503));
    }

    void caller_disconnect_is_reported_once()
    {
        front_end_fixture server;
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_post(quote_path, "x")));
        const auto received = server.core.find<request_received>();
        CPPUNIT_ASSERT(received);
        client.reset();
        const auto closed = server.core.find<call_closed>();
        CPPUNIT_ASSERT(closed && closed->call == received->call);
        server.front.post(
            answer_call{received->call, scripted_core::echo_answer(received->content)});

        server.core.echo_to(server.front);
        raw_client next(server.front.port());
        CPPUNIT_ASSERT(next.send(make_post(quote_path, "y")));
        CPPUNIT_ASSERT(has_status(next.read_response(), 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.core.count<call_closed>());
    }

    void jobs_tickets_and_cancellations_reach_the_core()
    {
        front_end_fixture server;
        server.core.echo_to(server.front);
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(
            make_post("/v1/services/quote/jobs", R"({"tasks":[{"body":"a"},{"body":{"b":1}}]})")));
        CPPUNIT_ASSERT(client.read_response().ends_with(
            R"({"answers":[{"status":200,"body":"a"},{"status":200,"body":{"b":1}}]})"));

        CPPUNIT_ASSERT(client.send(make_post("/v1/tickets", R"({"count":2})")));
        const auto requested = server.core.find<tickets_requested>();
        CPPUNIT_ASSERT(requested && requested->count == 2);
        const ticket issued{zone_name("za"), host_name("h"), incarnation_id(1), 2};
        server.front.post(issue_tickets{requested->call, {issued}});
        CPPUNIT_ASSERT(client.read_response().ends_with(R"({"tickets":["t1.za.h.1.2"]})"));

        CPPUNIT_ASSERT(client.send("DELETE /v1/requests/a%2Fb%3F HTTP/1.1\r\n\r\n"));
        const auto cancelled = server.core.find<cancel_received>();
        CPPUNIT_ASSERT(cancelled);
        CPPUNIT_ASSERT(cancelled->key == request_key(caller_key{.text = "a/b?"}));
        server.front.post(answer_call{std::get<local_origin>(cancelled->origin).call,
                                      failure{.id = error_id::cancelled}});
        CPPUNIT_ASSERT(client.read_response().ends_with(R"({"cancelled":true,"run":"not_run"})"));
    }

    void answers_are_routed_to_the_thread_of_their_call()
    {
        front_end_fixture server({.threads = 3});
        server.core.echo_to(server.front);
        std::vector<std::unique_ptr<raw_client>> clients;
        for (int n = 0; n < 30; ++n) {
            clients.push_back(std::make_unique<raw_client>(server.front.port()));
            CPPUNIT_ASSERT(clients.back()->send(make_post(quote_path, std::to_string(n))));
        }
        for (std::size_t n = 0; n < clients.size(); ++n) {
            CPPUNIT_ASSERT(clients[n]->read_response().ends_with("\r\n\r\n" + std::to_string(n)));
        }
        std::set<call_id> calls;
        for (std::size_t n = 0; n < clients.size(); ++n) {
            calls.insert(server.core.find<request_received>(n)->call);
        }
        CPPUNIT_ASSERT_EQUAL(clients.size(), calls.size());
    }

    void failure_is_encoded_as_problem_details()
    {
        front_end_fixture server;
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_post(quote_path, "x")));
        const auto received = server.core.find<request_received>();
        CPPUNIT_ASSERT(received);
        server.front.post(answer_call{
            received->call,
            failure{.id = error_id::no_home, .run = run_state::not_run, .retry_at = time_point()}});
        const std::string response = client.read_response();
        CPPUNIT_ASSERT(has_status(response, 503));
        CPPUNIT_ASSERT(contains(response, "Content-Type: application/problem+json\r\n"));
        CPPUNIT_ASSERT(contains(response, "Retry-After: 0\r\n"));
        CPPUNIT_ASSERT(contains(response, R"("type":"urn:papayafall:error:no_home")"));

        CPPUNIT_ASSERT(client.send("FROB / HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(has_status(client.read_response(), 404));
        CPPUNIT_ASSERT(client.send(make_get("/nowhere") +
                                   make_post(quote_path, "", "Papayafall-Urgency: x\r\n")));
        CPPUNIT_ASSERT(has_status(client.read_response(), 404));
        CPPUNIT_ASSERT(contains(client.read_response(), R"("run":"not_run")"));
    }

    void pages_show_the_published_status()
    {
        front_end_fixture server;
        raw_client client(server.front.port());
        const auto fetch = [&client](const std::string& path) {
            CPPUNIT_ASSERT(client.send(make_get(path)));
            return client.read_response();
        };
        CPPUNIT_ASSERT(has_status(fetch("/healthz"), 503));
        CPPUNIT_ASSERT(has_status(fetch("/v1/status"), 503));
        server.front.post(publish_status{status_fields{.ready = false}});
        CPPUNIT_ASSERT(has_status(fetch("/healthz"), 200));
        CPPUNIT_ASSERT(has_status(fetch("/readyz"), 503));
        server.front.post(publish_status{status_fields{.queued_tasks = 7, .ready = true}});
        CPPUNIT_ASSERT(has_status(fetch("/readyz"), 200));
        CPPUNIT_ASSERT(contains(fetch("/v1/status"), R"("queued_tasks":7)"));
        const std::string metrics = fetch("/metrics");
        CPPUNIT_ASSERT(contains(metrics, "papayafall_http_connections 1"));
        CPPUNIT_ASSERT(contains(metrics, R"(papayafall_http_requests_total{kind="page"} 7)"));

        CPPUNIT_ASSERT(client.send("HEAD /readyz HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(client.send(make_get("/readyz")));
        CPPUNIT_ASSERT(client.read_response().find("HTTP/1.1 200", 1) != std::string::npos);
    }
};

class limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(invalid_requests_are_rejected_and_closed);
    CPPUNIT_TEST(body_of_maximum_size_is_accepted);
    CPPUNIT_TEST(idle_connections_retain_no_request_bodies);
    CPPUNIT_TEST(incomplete_request_times_out);
    CPPUNIT_TEST(idle_connection_is_closed);
    CPPUNIT_TEST(caller_that_reads_no_responses_is_disconnected);
    CPPUNIT_TEST(connections_over_the_limit_are_closed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void invalid_requests_are_rejected_and_closed()
    {
        front_end_fixture server;
        const auto expect_rejected = [&server](const std::string& request, int status) {
            raw_client client(server.front.port());
            client.send(request);
            const std::string response = client.read_response();
            CPPUNIT_ASSERT_MESSAGE(response, has_status(response, status));
            CPPUNIT_ASSERT(contains(response, "Connection: close\r\n"));
            CPPUNIT_ASSERT(contains(response, R"("run":"not_run")"));
            CPPUNIT_ASSERT(client.wait_until_closed());
        };
        const std::string start = "POST " + quote_path + " HTTP/1.1\r\n";
        expect_rejected("nonsense\r\n\r\n", 400);
        expect_rejected(start + "Content-Length: 1048577\r\n\r\n", 413);
        expect_rejected(start + "Content-Length: 200000000\r\n\r\n" + std::string(4'000'000, 'x'),
                        413);
        expect_rejected(start + std::string(20'000, 'h'), 431);
        expect_rejected(start + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 411);
        expect_rejected(start + "Upgrade: websocket\r\nConnection: upgrade\r\n\r\n", 400);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.core.count<request_received>());
    }

    void body_of_maximum_size_is_accepted()
    {
        front_end_fixture server;
        server.core.echo_to(server.front);
        raw_client client(server.front.port());
        const std::string body(1'048'576, 'b');
        const std::string request_text = make_post(quote_path, body, "Expect: 100-continue\r\n");
        CPPUNIT_ASSERT(client.send(request_text.substr(0, request_text.size() - body.size())));
        CPPUNIT_ASSERT(has_status(client.read_response(), 100));
        CPPUNIT_ASSERT(client.send(body));
        CPPUNIT_ASSERT(client.read_response().ends_with("\r\n\r\n" + body));
    }

    void idle_connections_retain_no_request_bodies()
    {
        front_end_fixture server;
        const std::string request_text = make_post("/v1/unknown", std::string(1'048'576, 'b'));
        constexpr std::size_t connections = 32;
        std::vector<std::unique_ptr<raw_client>> clients;
        const std::size_t before = allocated_bytes();
        for (std::size_t n = 0; n < connections; ++n) {
            clients.push_back(std::make_unique<raw_client>(server.front.port()));
            CPPUNIT_ASSERT(clients.back()->send(request_text));
            CPPUNIT_ASSERT(has_status(clients.back()->read_response(), 404));
        }
        // The response to a second request shows that the first one has been processed completely.
        for (const auto& client : clients) {
            CPPUNIT_ASSERT(client->send(request_text));
            CPPUNIT_ASSERT(has_status(client->read_response(), 404));
        }
        CPPUNIT_ASSERT(clients.front()->send(make_get("/metrics")));
        CPPUNIT_ASSERT(has_status(clients.front()->read_response(), 200));
        CPPUNIT_ASSERT(allocated_bytes() < before + connections * request_text.size() / 4);
    }

    void incomplete_request_times_out()
    {
        front_end_fixture server(
            {.connection = {.transfer_timeout = std::chrono::milliseconds(200)}});
        raw_client client(server.front.port());
        const std::string request_text = make_post(quote_path, "0123456789");
        CPPUNIT_ASSERT(client.send(request_text.substr(0, request_text.size() - 1)));
        CPPUNIT_ASSERT(has_status(client.read_response(), 408));
        CPPUNIT_ASSERT(client.wait_until_closed());

        raw_client silent(server.front.port());
        CPPUNIT_ASSERT(silent.wait_until_closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.core.count<request_received>());
    }

    void idle_connection_is_closed()
    {
        front_end_fixture server({.connection = {.idle_timeout = std::chrono::milliseconds(200)}});
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_get("/healthz")));
        CPPUNIT_ASSERT(has_status(client.read_response(), 503));
        CPPUNIT_ASSERT(client.wait_until_closed());
    }

    void caller_that_reads_no_responses_is_disconnected()
    {
        front_end_fixture server(
            {.connection = {.transfer_timeout = std::chrono::milliseconds(500)}});
        server.core.echo_to(server.front);
        raw_client client(server.front.port());
        const std::string request = make_post(quote_path, std::string(1'000'000, 'x'));
        int sent = 0;
        while (sent < 100 && client.send(request)) {
            ++sent;
        }
        CPPUNIT_ASSERT(sent < 100);
    }

    void connections_over_the_limit_are_closed()
    {
        front_end_fixture server({.max_connections_per_thread = 1});
        raw_client first(server.front.port());
        CPPUNIT_ASSERT(first.send(make_get("/healthz")));
        CPPUNIT_ASSERT(has_status(first.read_response(), 503));
        raw_client second(server.front.port());
        CPPUNIT_ASSERT(second.wait_until_closed());
        CPPUNIT_ASSERT(first.send(make_get("/metrics")));
        CPPUNIT_ASSERT(
            contains(first.read_response(), "papayafall_http_connections_rejected_total 1"));
    }
};

class stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_test);
    CPPUNIT_TEST(requests_in_progress_are_answered);
    CPPUNIT_TEST(stop_aborts_remaining_connections_at_its_timeout);
    CPPUNIT_TEST(unusable_address_throws_configuration_error);
    CPPUNIT_TEST_SUITE_END();

  public:
    void requests_in_progress_are_answered()
    {
        front_end_fixture server({.threads = 2});
        raw_client idle(server.front.port());
        CPPUNIT_ASSERT(idle.send(make_get("/healthz")));
        CPPUNIT_ASSERT(has_status(idle.read_response(), 503));
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_post(quote_path, "last")));
        const auto received = server.core.find<request_received>();
        CPPUNIT_ASSERT(received);

        server.front.stop_accepting();
        CPPUNIT_ASSERT(idle.wait_until_closed());
        server.front.post(
            answer_call{received->call, scripted_core::echo_answer(received->content)});
        const std::string response = client.read_response();
        CPPUNIT_ASSERT(has_status(response, 200));
        CPPUNIT_ASSERT(contains(response, "Connection: close\r\n"));
        CPPUNIT_ASSERT(client.wait_until_closed());
        server.front.stop(std::chrono::seconds(20));
        CPPUNIT_ASSERT_THROW(raw_client(server.front.port()), std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.core.count<call_closed>());
    }

    void stop_aborts_remaining_connections_at_its_timeout()
    {
        front_end_fixture server;
        raw_client client(server.front.port());
        CPPUNIT_ASSERT(client.send(make_post(quote_path, "never answered")));
        CPPUNIT_ASSERT(server.core.find<request_received>());
        server.front.stop(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(client.wait_until_closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.core.count<call_closed>());
    }

    void unusable_address_throws_configuration_error()
    {
        const system_clock_source clock;
        scripted_core core;
        prometheus::Registry registry;
        for (const char* it : {"not an address", "192.0.2.1"}) {
            const front_end_options options{.listen = {.address = it, .port = 1}};
            CPPUNIT_ASSERT_THROW(front_end(options, clock, core, registry), configuration_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(calls_test);
CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);
CPPUNIT_TEST_SUITE_REGISTRATION(stop_test);

} // namespace
