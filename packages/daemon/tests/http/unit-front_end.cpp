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

std::string post_of(const std::string& path, const std::string& body,
                    const std::string& headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get_of(const std::string& path)
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

/// Bytes that the allocator has in use in this process.
std::size_t allocated_bytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A running front end with a scripted core behind it.
class fixture {
  public:
    explicit fixture(const front_end_options& options = {})
        : front(prepared(options), clock, core, registry)
    {
        front.start();
    }

    system_clock_source clock;
    scripted_core core;
    prometheus::Registry registry;
    front_end front;

  private:
    /// Makes the application object before the first thread is.
    static const front_end_options& prepared(const front_end_options& options)
    {
        ensure_application();
        return options;
    }
};

class calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(calls_test);
    CPPUNIT_TEST(many_requests_share_a_connection);
    CPPUNIT_TEST(pipelined_requests_get_their_own_answers_in_order);
    CPPUNIT_TEST(caller_that_hangs_up_is_reported_once_and_harmless);
    CPPUNIT_TEST(jobs_tickets_and_cancellations_reach_the_core);
    CPPUNIT_TEST(answers_find_the_thread_of_their_call);
    CPPUNIT_TEST(failure_becomes_a_problem);
    CPPUNIT_TEST(pages_show_the_published_status);
    CPPUNIT_TEST_SUITE_END();

  public:
    void many_requests_share_a_connection()
    {
        fixture it;
        it.core.echo_to(it.front);
        raw_client client(it.front.port());
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(client.send(post_of(quote_path, "body " + std::to_string(n))));
            const std::string response = client.read_response();
            CPPUNIT_ASSERT_MESSAGE(response, has_status(response, 200));
            CPPUNIT_ASSERT(response.ends_with("\r\n\r\nbody " + std::to_string(n)));
        }
    }

    void pipelined_requests_get_their_own_answers_in_order()
    {
        fixture it;
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(post_of(quote_path, "first") + post_of(quote_path, "second") +
                                   get_of("/healthz")));
        const auto first = it.core.find<request_received>();
        CPPUNIT_ASSERT(first);
        // The health page needs no answer from the core; it must not overtake, nor may a second
        // request be read before the first one is answered.
        raw_client other(it.front.port());
        CPPUNIT_ASSERT(other.send(get_of("/healthz")));
        CPPUNIT_ASSERT(has_status(other.read_response(), 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.core.count<request_received>());

        it.front.post(answer_call{first->call, scripted_core::echo_of(first->content)});
        CPPUNIT_ASSERT(client.read_response().ends_with("first"));
        const auto second = it.core.find<request_received>(1);
        CPPUNIT_ASSERT(second);
        it.front.post(answer_call{second->call, scripted_core::echo_of(second->content)});
        CPPUNIT_ASSERT(client.read_response().ends_with("second"));
        CPPUNIT_ASSERT(has_status(client.read_response(), 503));
    }

    void caller_that_hangs_up_is_reported_once_and_harmless()
    {
        fixture it;
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(post_of(quote_path, "x")));
        const auto received = it.core.find<request_received>();
        CPPUNIT_ASSERT(received);
        client.reset();
        const auto closed = it.core.find<call_closed>();
        CPPUNIT_ASSERT(closed && closed->call == received->call);
        it.front.post(answer_call{received->call, scripted_core::echo_of(received->content)});

        it.core.echo_to(it.front);
        raw_client next(it.front.port());
        CPPUNIT_ASSERT(next.send(post_of(quote_path, "y")));
        CPPUNIT_ASSERT(has_status(next.read_response(), 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.core.count<call_closed>());
    }

    void jobs_tickets_and_cancellations_reach_the_core()
    {
        fixture it;
        it.core.echo_to(it.front);
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(
            post_of("/v1/services/quote/jobs", R"({"tasks":[{"body":"a"},{"body":{"b":1}}]})")));
        CPPUNIT_ASSERT(client.read_response().ends_with(
            R"({"answers":[{"status":200,"body":"a"},{"status":200,"body":{"b":1}}]})"));

        CPPUNIT_ASSERT(client.send(post_of("/v1/tickets", R"({"count":2})")));
        const auto asked = it.core.find<tickets_requested>();
        CPPUNIT_ASSERT(asked && asked->count == 2);
        const ticket issued{zone_name("za"), host_name("h"), incarnation_id(1), 2};
        it.front.post(issue_tickets{asked->call, {issued}});
        CPPUNIT_ASSERT(client.read_response().ends_with(R"({"tickets":["t1.za.h.1.2"]})"));

        CPPUNIT_ASSERT(client.send("DELETE /v1/requests/a%2Fb%3F HTTP/1.1\r\n\r\n"));
        const auto cancelled = it.core.find<cancel_received>();
        CPPUNIT_ASSERT(cancelled);
        CPPUNIT_ASSERT(cancelled->key == request_key(caller_key{.text = "a/b?"}));
        it.front.post(answer_call{std::get<local_origin>(cancelled->origin).call,
                                  failure{.id = error_id::cancelled}});
        CPPUNIT_ASSERT(client.read_response().ends_with(R"({"cancelled":true,"run":"not_run"})"));
    }

    void answers_find_the_thread_of_their_call()
    {
        fixture it({.threads = 3});
        it.core.echo_to(it.front);
        std::vector<std::unique_ptr<raw_client>> clients;
        for (int n = 0; n < 30; ++n) {
            clients.push_back(std::make_unique<raw_client>(it.front.port()));
            CPPUNIT_ASSERT(clients.back()->send(post_of(quote_path, std::to_string(n))));
        }
        for (std::size_t n = 0; n < clients.size(); ++n) {
            CPPUNIT_ASSERT(clients[n]->read_response().ends_with("\r\n\r\n" + std::to_string(n)));
        }
        std::set<call_id> calls;
        for (std::size_t n = 0; n < clients.size(); ++n) {
            calls.insert(it.core.find<request_received>(n)->call);
        }
        CPPUNIT_ASSERT_EQUAL(clients.size(), calls.size());
    }

    void failure_becomes_a_problem()
    {
        fixture it;
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(post_of(quote_path, "x")));
        const auto received = it.core.find<request_received>();
        CPPUNIT_ASSERT(received);
        it.front.post(answer_call{
            received->call,
            failure{.id = error_id::no_home, .run = run_state::not_run, .retry_at = time_point()}});
        const std::string response = client.read_response();
        CPPUNIT_ASSERT(has_status(response, 503));
        CPPUNIT_ASSERT(contains(response, "Content-Type: application/problem+json\r\n"));
        CPPUNIT_ASSERT(contains(response, "Retry-After: 0\r\n"));
        CPPUNIT_ASSERT(contains(response, R"("type":"urn:papayafall:error:no_home")"));

        CPPUNIT_ASSERT(client.send("FROB / HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(has_status(client.read_response(), 404));
        CPPUNIT_ASSERT(
            client.send(get_of("/nowhere") + post_of(quote_path, "", "Papayafall-Urgency: x\r\n")));
        CPPUNIT_ASSERT(has_status(client.read_response(), 404));
        CPPUNIT_ASSERT(contains(client.read_response(), R"("run":"not_run")"));
    }

    void pages_show_the_published_status()
    {
        fixture it;
        raw_client client(it.front.port());
        const auto status_of = [&client](const std::string& path) {
            CPPUNIT_ASSERT(client.send(get_of(path)));
            return client.read_response();
        };
        CPPUNIT_ASSERT(has_status(status_of("/healthz"), 503));
        CPPUNIT_ASSERT(has_status(status_of("/v1/status"), 503));
        it.front.post(publish_status{status_fields{.ready = false}});
        CPPUNIT_ASSERT(has_status(status_of("/healthz"), 200));
        CPPUNIT_ASSERT(has_status(status_of("/readyz"), 503));
        it.front.post(publish_status{status_fields{.queued_tasks = 7, .ready = true}});
        CPPUNIT_ASSERT(has_status(status_of("/readyz"), 200));
        CPPUNIT_ASSERT(contains(status_of("/v1/status"), R"("queued_tasks":7)"));
        const std::string metrics = status_of("/metrics");
        CPPUNIT_ASSERT(contains(metrics, "papayafall_http_connections 1"));
        CPPUNIT_ASSERT(contains(metrics, R"(papayafall_http_requests_total{kind="page"} 7)"));

        CPPUNIT_ASSERT(client.send("HEAD /readyz HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(client.send(get_of("/readyz")));
        CPPUNIT_ASSERT(client.read_response().find("HTTP/1.1 200", 1) != std::string::npos);
    }
};

class limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(unacceptable_requests_are_refused_and_closed);
    CPPUNIT_TEST(largest_body_is_accepted);
    CPPUNIT_TEST(idle_connections_keep_no_bodies);
    CPPUNIT_TEST(unfinished_request_times_out);
    CPPUNIT_TEST(idle_connection_is_closed);
    CPPUNIT_TEST(caller_that_takes_no_answers_is_cut);
    CPPUNIT_TEST(connections_are_capped);
    CPPUNIT_TEST_SUITE_END();

  public:
    void unacceptable_requests_are_refused_and_closed()
    {
        fixture it;
        const auto refused = [&it](const std::string& request, int status) {
            raw_client client(it.front.port());
            client.send(request);
            const std::string response = client.read_response();
            CPPUNIT_ASSERT_MESSAGE(response, has_status(response, status));
            CPPUNIT_ASSERT(contains(response, "Connection: close\r\n"));
            CPPUNIT_ASSERT(contains(response, R"("run":"not_run")"));
            CPPUNIT_ASSERT(client.wait_until_closed());
        };
        const std::string start = "POST " + quote_path + " HTTP/1.1\r\n";
        refused("nonsense\r\n\r\n", 400);
        refused(start + "Content-Length: 1048577\r\n\r\n", 413);
        refused(start + "Content-Length: 200000000\r\n\r\n" + std::string(4'000'000, 'x'), 413);
        refused(start + std::string(20'000, 'h'), 431);
        refused(start + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 411);
        refused(start + "Upgrade: websocket\r\nConnection: upgrade\r\n\r\n", 400);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.core.count<request_received>());
    }

    void largest_body_is_accepted()
    {
        fixture it;
        it.core.echo_to(it.front);
        raw_client client(it.front.port());
        const std::string body(1'048'576, 'b');
        const std::string whole = post_of(quote_path, body, "Expect: 100-continue\r\n");
        CPPUNIT_ASSERT(client.send(whole.substr(0, whole.size() - body.size())));
        CPPUNIT_ASSERT(has_status(client.read_response(), 100));
        CPPUNIT_ASSERT(client.send(body));
        CPPUNIT_ASSERT(client.read_response().ends_with("\r\n\r\n" + body));
    }

    void idle_connections_keep_no_bodies()
    {
        fixture it;
        const std::string whole = post_of("/v1/unknown", std::string(1'048'576, 'b'));
        constexpr std::size_t connections = 32;
        std::vector<std::unique_ptr<raw_client>> clients;
        const std::size_t before = allocated_bytes();
        for (std::size_t n = 0; n < connections; ++n) {
            clients.push_back(std::make_unique<raw_client>(it.front.port()));
            CPPUNIT_ASSERT(clients.back()->send(whole));
            CPPUNIT_ASSERT(has_status(clients.back()->read_response(), 404));
        }
        // A second request on each connection shows that the first was dealt with to its end.
        for (const auto& client : clients) {
            CPPUNIT_ASSERT(client->send(whole));
            CPPUNIT_ASSERT(has_status(client->read_response(), 404));
        }
        CPPUNIT_ASSERT(clients.front()->send(get_of("/metrics")));
        CPPUNIT_ASSERT(has_status(clients.front()->read_response(), 200));
        CPPUNIT_ASSERT(allocated_bytes() < before + connections * whole.size() / 4);
    }

    void unfinished_request_times_out()
    {
        fixture it({.connection = {.transfer_time = std::chrono::milliseconds(200)}});
        raw_client client(it.front.port());
        const std::string whole = post_of(quote_path, "0123456789");
        CPPUNIT_ASSERT(client.send(whole.substr(0, whole.size() - 1)));
        CPPUNIT_ASSERT(has_status(client.read_response(), 408));
        CPPUNIT_ASSERT(client.wait_until_closed());

        raw_client silent(it.front.port());
        CPPUNIT_ASSERT(silent.wait_until_closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.core.count<request_received>());
    }

    void idle_connection_is_closed()
    {
        fixture it({.connection = {.idle_time = std::chrono::milliseconds(200)}});
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(get_of("/healthz")));
        CPPUNIT_ASSERT(has_status(client.read_response(), 503));
        CPPUNIT_ASSERT(client.wait_until_closed());
    }

    void caller_that_takes_no_answers_is_cut()
    {
        fixture it({.connection = {.transfer_time = std::chrono::milliseconds(500)}});
        it.core.echo_to(it.front);
        raw_client client(it.front.port());
        const std::string request = post_of(quote_path, std::string(1'000'000, 'x'));
        int sent = 0;
        while (sent < 100 && client.send(request)) {
            ++sent;
        }
        CPPUNIT_ASSERT(sent < 100);
    }

    void connections_are_capped()
    {
        fixture it({.max_connections_per_thread = 1});
        raw_client first(it.front.port());
        CPPUNIT_ASSERT(first.send(get_of("/healthz")));
        CPPUNIT_ASSERT(has_status(first.read_response(), 503));
        raw_client second(it.front.port());
        CPPUNIT_ASSERT(second.wait_until_closed());
        CPPUNIT_ASSERT(first.send(get_of("/metrics")));
        CPPUNIT_ASSERT(
            contains(first.read_response(), "papayafall_http_connections_rejected_total 1"));
    }
};

class stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_test);
    CPPUNIT_TEST(requests_in_progress_are_answered);
    CPPUNIT_TEST(stop_cuts_what_is_left_at_its_limit);
    CPPUNIT_TEST(used_port_is_a_typed_error);
    CPPUNIT_TEST_SUITE_END();

  public:
    void requests_in_progress_are_answered()
    {
        fixture it({.threads = 2});
        raw_client idle(it.front.port());
        CPPUNIT_ASSERT(idle.send(get_of("/healthz")));
        CPPUNIT_ASSERT(has_status(idle.read_response(), 503));
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(post_of(quote_path, "last")));
        const auto received = it.core.find<request_received>();
        CPPUNIT_ASSERT(received);

        it.front.stop_accepting();
        CPPUNIT_ASSERT(idle.wait_until_closed());
        it.front.post(answer_call{received->call, scripted_core::echo_of(received->content)});
        const std::string response = client.read_response();
        CPPUNIT_ASSERT(has_status(response, 200));
        CPPUNIT_ASSERT(contains(response, "Connection: close\r\n"));
        CPPUNIT_ASSERT(client.wait_until_closed());
        it.front.stop(std::chrono::seconds(20));
        CPPUNIT_ASSERT_THROW(raw_client(it.front.port()), std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.core.count<call_closed>());
    }

    void stop_cuts_what_is_left_at_its_limit()
    {
        fixture it;
        raw_client client(it.front.port());
        CPPUNIT_ASSERT(client.send(post_of(quote_path, "never answered")));
        CPPUNIT_ASSERT(it.core.find<request_received>());
        it.front.stop(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(client.wait_until_closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.core.count<call_closed>());
    }

    void used_port_is_a_typed_error()
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
