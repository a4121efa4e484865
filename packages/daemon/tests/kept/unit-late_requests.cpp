#include "kept/recording_handler.hpp"
#include "support/event_loop.hpp"
#include "support/test_application.hpp"

#include "papayafall/daemon/kept/request_server.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace papayafall {

namespace {

using std::chrono::milliseconds;

/// Caller that needs no event loop. Closes its connection at the end.
class blocking_caller {
  public:
    explicit blocking_caller(std::uint16_t port) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int ec =
            ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        CPPUNIT_ASSERT_EQUAL(0, ec);
    }

    blocking_caller(const blocking_caller&) = delete;
    blocking_caller& operator=(const blocking_caller&) = delete;

    ~blocking_caller() { ::close(descriptor_); }

    void send(const std::string& text) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                             ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL));
    }

  private:
    int descriptor_;
};

void run_for(duration length)
{
    const time_point end = steady_now() + length;
    run_until([end] { return steady_now() >= end; });
}

std::string request_text()
{
    return encode_request({.method = "POST", .target = "/check/1"}, "host");
}

/// Requests that were sent long before the server reads them.
class late_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_requests_test);
    CPPUNIT_TEST(a_request_is_as_old_as_its_arrival_at_the_host);
    CPPUNIT_TEST(a_request_of_a_caller_that_has_left_is_dropped);
    CPPUNIT_TEST(a_late_first_request_waits_for_the_end_of_its_connection);
    CPPUNIT_TEST(a_late_first_request_of_a_caller_that_stays_is_passed_on);
    CPPUNIT_TEST(a_late_request_on_a_used_connection_waits_for_its_end);
    CPPUNIT_TEST(a_request_soon_after_an_answer_is_passed_on_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        ensure_application();
        handler_ = std::make_unique<recording_handler>();
        server_ = std::make_unique<request_server>(
            request_server_options{.listen = {"127.0.0.1", 0}}, *handler_);
    }

    void tearDown() override
    {
        server_.reset();
        handler_.reset();
    }

    // Guards against the start of jobs that their callers have submitted elsewhere since: a
    // process that did not run for seconds took the requests in its sockets for new ones.
    void a_request_is_as_old_as_its_arrival_at_the_host()
    {
        const blocking_caller caller(server_->port());
        caller.send(request_text());
        std::this_thread::sleep_for(milliseconds(300)); // the server's event loop does not run
        const time_point read_at = steady_now();
        CPPUNIT_ASSERT(run_until([&] { return !handler_->calls.empty(); }));
        CPPUNIT_ASSERT(handler_->received[0] <= read_at - milliseconds(200));
    }

    // Guards against the same, where the caller has closed the connection meanwhile.
    void a_request_of_a_caller_that_has_left_is_dropped()
    {
        {
            const blocking_caller caller(server_->port());
            caller.send(request_text());
        }
        const blocking_caller other(server_->port());
        other.send(request_text());
        CPPUNIT_ASSERT(run_until([&] { return !handler_->calls.empty(); }));
        run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler_->calls.size());
        CPPUNIT_ASSERT(handler_->abandoned.empty());
    }

    // Guards against the same, where the network delayed the request, and the end of the
    // connection arrives one round trip after it.
    void a_late_first_request_waits_for_the_end_of_its_connection()
    {
        auto caller = std::make_unique<blocking_caller>(server_->port());
        run_for(milliseconds(350));
        caller->send(request_text());
        run_for(milliseconds(5)); // less than the time for which the request is held back
        CPPUNIT_ASSERT(handler_->calls.empty());
        caller.reset();
        run_for(milliseconds(10));
        server_->on_tick(steady_now() + milliseconds(100));
        CPPUNIT_ASSERT(handler_->calls.empty());
    }

    void a_late_first_request_of_a_caller_that_stays_is_passed_on()
    {
        const blocking_caller caller(server_->port());
        run_for(milliseconds(350));
        caller.send(request_text());
        CPPUNIT_ASSERT(run_until([&] {
            server_->on_tick(steady_now());
            return !handler_->calls.empty();
        }));
        caller.send(request_text());
        server_->answer(handler_->calls[0], {.status = 200});
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 2; })); // without a tick
    }

    // Guards against the start of a job that its caller has submitted elsewhere since: a partition
    // held up a later request of the connection, and its end came one round trip after it.
    void a_late_request_on_a_used_connection_waits_for_its_end()
    {
        auto caller = std::make_unique<blocking_caller>(server_->port());
        exchange(*caller);
        run_for(milliseconds(1400)); // longer than callers take to submit a job elsewhere
        caller->send(request_text());
        run_for(milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler_->calls.size());
        caller.reset();
        run_for(milliseconds(10));
        server_->on_tick(steady_now() + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler_->calls.size());
    }

    void a_request_soon_after_an_answer_is_passed_on_at_once()
    {
        const blocking_caller caller(server_->port());
        exchange(caller);
        run_for(milliseconds(400));
        caller.send(request_text());
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 2; })); // without a tick
    }

  private:
    /// Sends a request and has it answered.
    void exchange(const blocking_caller& caller)
    {
        caller.send(request_text());
        CPPUNIT_ASSERT(run_until([&] { return !handler_->calls.empty(); }));
        server_->answer(handler_->calls[0], {.status = 200});
    }

    std::unique_ptr<recording_handler> handler_;
    std::unique_ptr<request_server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_requests_test);

} // namespace

} // namespace papayafall
