#include "papayafall/daemon/http/front_end.hpp"

#include "http/raw_client.hpp"
#include "http/scripted_core.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>

#include <memory>

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

[[maybe_unused]] bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A running front end with a scripted core behind it.
class fixture {
  private:
    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};

  public:
    explicit fixture(const front_end_options& options = {}) : front(options, core, registry)
    {
        front.start();
    }

    scripted_core core;
    prometheus::Registry registry;
    front_end front;
};

class calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(calls_test);
    CPPUNIT_TEST(many_requests_share_a_connection);
    CPPUNIT_TEST(pipelined_requests_get_their_own_answers_in_order);
    CPPUNIT_TEST(caller_that_hangs_up_is_reported_once_and_harmless);
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
        const auto first = it.core.wait_for<request_received>();
        CPPUNIT_ASSERT(first);
        // The health page needs no answer from the core; it must not overtake, nor may a second
        // request be read before the first one is answered.
        raw_client other(it.front.port());
        CPPUNIT_ASSERT(other.send(get_of("/healthz")));
        CPPUNIT_ASSERT(has_status(other.read_response(), 503));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.core.count<request_received>());

        it.front.post(answer_call{first->call, scripted_core::echo_of(first->content)});
        CPPUNIT_ASSERT(client.read_response().ends_with("first"));
        const auto second = it.core.wait_for<request_received>(1);
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
        const auto received = it.core.wait_for<request_received>();
        CPPUNIT_ASSERT(received);
        client.reset();
        const auto closed = it.core.wait_for<call_closed>();
        CPPUNIT_ASSERT(closed && closed->call == received->call);
        it.front.post(answer_call{received->call, scripted_core::echo_of(received->content)});

        it.core.echo_to(it.front);
        raw_client next(it.front.port());
        CPPUNIT_ASSERT(next.send(post_of(quote_path, "y")));
        CPPUNIT_ASSERT(has_status(next.read_response(), 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.core.count<call_closed>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(calls_test);

} // namespace
