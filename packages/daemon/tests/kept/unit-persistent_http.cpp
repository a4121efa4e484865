#include "kept/recording_handler.hpp"
#include "support/event_loop.hpp"
#include "support/test_application.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/kept/http_connection_pool.hpp"
#include "papayafall/daemon/kept/request_server.hpp"
#include "papayafall/platform/clock/clock_source.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace papayafall {

namespace {

using std::chrono::milliseconds;

const endpoint any_port{"127.0.0.1", 0};

class persistent_http_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(persistent_http_test);
    CPPUNIT_TEST(messages_are_parsed_from_fragments_of_any_size);
    CPPUNIT_TEST(messages_over_the_limits_are_rejected);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST(calls_share_one_persistent_connection);
    CPPUNIT_TEST(a_call_to_a_closed_port_is_refused);
    CPPUNIT_TEST(a_call_to_an_unresponsive_server_times_out);
    CPPUNIT_TEST(a_call_on_a_closed_connection_fails_and_is_not_resent);
    CPPUNIT_TEST(calls_beyond_the_connection_limit_wait);
    CPPUNIT_TEST(a_waiting_call_times_out);
    CPPUNIT_TEST(a_disconnected_caller_is_reported_and_not_answered);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(an_incomplete_request_is_closed_at_its_deadline);
    CPPUNIT_TEST(fragments_do_not_extend_the_time_of_a_request);
    CPPUNIT_TEST(bytes_that_pile_up_behind_an_open_call_end_the_connection);
    CPPUNIT_TEST(a_request_is_not_sent_after_its_deadline);
    CPPUNIT_TEST(answers_during_shutdown_close_the_connection);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        ensure_application();
        handler_ = std::make_unique<recording_handler>();
        server_ = std::make_unique<request_server>(
            request_server_options{.listen = any_port, .receive_timeout = milliseconds(50)},
            *handler_);
    }

    void tearDown() override
    {
        server_.reset();
        handler_.reset();
    }

    void messages_are_parsed_from_fragments_of_any_size()
    {
        const std::string text = encode_request(
            {.method = "POST", .target = "/a?b=c", .headers = {{"X-Name", "v"}}, .body = "body"},
            "host");
        for (std::size_t size = 1; size <= text.size(); ++size) {
            http_reader<http_request_message> reader{http_limits()};
            std::optional<http_request_message> found;
            for (std::size_t n = 0; n < text.size(); n += size) {
                CPPUNIT_ASSERT(!found);
                reader.feed(std::string_view(text).substr(n, size));
                found = reader.next();
            }
            CPPUNIT_ASSERT(found.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("body"), found->body);
            CPPUNIT_ASSERT_EQUAL(std::string("v"), std::string(found->header("x-name")));
            CPPUNIT_ASSERT_EQUAL(std::string("/a?b=c"), found->target);
        }
    }

    void messages_over_the_limits_are_rejected()
    {
        http_reader<http_request_message> reader({.header_bytes = 200, .body_bytes = 10});
        reader.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT_THROW(reader.next(), message_error);
        http_reader<http_request_message> other({.header_bytes = 200, .body_bytes = 10});
        other.feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT_THROW(other.next(), message_error);
    }

    void malformed_messages_are_rejected()
    {
        http_reader<http_reply_message> reader{http_limits()};
        reader.feed("\x01\x02 no reply at all\r\n\r\n");
        CPPUNIT_ASSERT_THROW(reader.next(), message_error);
    }

    void calls_share_one_persistent_connection()
    {
        persistent_connection connection({"127.0.0.1", server_->port()}, http_limits());
        for (std::size_t n = 1; n <= 3; ++n) {
            std::optional<exchange_result> result;
            send(connection, result, milliseconds(5000));
            CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == n; }));
            server_->answer(handler_->calls.back(), {.status = 200, .body = "yes"});
            CPPUNIT_ASSERT(run_until([&] { return result.has_value(); }));
            CPPUNIT_ASSERT(result->error == exchange_error::none);
            CPPUNIT_ASSERT_EQUAL(std::string("yes"), result->reply.body);
            CPPUNIT_ASSERT(connection.open());
        }
    }

    void a_call_to_a_closed_port_is_refused()
    {
        const std::uint16_t port = server_->port();
        server_.reset();
        persistent_connection connection({"127.0.0.1", port}, http_limits());
        std::optional<exchange_result> result;
        send(connection, result, milliseconds(5000));
        CPPUNIT_ASSERT(run_until([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->error == exchange_error::refused);
    }

    void a_call_to_an_unresponsive_server_times_out()
    {
        persistent_connection connection({"127.0.0.1", server_->port()}, http_limits());
        std::optional<exchange_result> result;
        send(connection, result, milliseconds(20));
        CPPUNIT_ASSERT(run_until([&] {
            connection.on_tick(steady_now());
            return result.has_value();
        }));
        CPPUNIT_ASSERT(result->error == exchange_error::timed_out);
        CPPUNIT_ASSERT(!connection.open());
    }

    void a_call_on_a_closed_connection_fails_and_is_not_resent()
    {
        QTcpServer peer;
        CPPUNIT_ASSERT(peer.listen(QHostAddress::LocalHost));
        int accepted = 0;
        QObject::connect(&peer, &QTcpServer::newConnection, [&] {
            QTcpSocket* const socket = peer.nextPendingConnection();
            ++accepted;
            QObject::connect(socket, &QTcpSocket::readyRead, [socket] { socket->abort(); });
        });
        persistent_connection connection({"127.0.0.1", peer.serverPort()}, http_limits());
        std::optional<exchange_result> result;
        send(connection, result, milliseconds(5000));
        CPPUNIT_ASSERT(run_until([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->error == exchange_error::broken);
        CPPUNIT_ASSERT(!run_until([&] { return accepted > 1; }, milliseconds(50)));
    }

    void calls_beyond_the_connection_limit_wait()
    {
        http_connection_pool pool({"127.0.0.1", server_->port()}, http_limits(), 2);
        int done = 0;
        for (int n = 0; n < 5; ++n) {
            pool.send({.method = "GET", .target = "/"}, steady_now() + milliseconds(5000),
                      [&done](const exchange_result&) { ++done; });
        }
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 2; }));
        CPPUNIT_ASSERT(!run_until([&] { return handler_->calls.size() > 2; }, milliseconds(30)));
        for (std::size_t n = 0; n < 5; ++n) {
            CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() > n; }));
            server_->answer(handler_->calls[n], {.status = 200});
        }
        CPPUNIT_ASSERT(run_until([&] { return done == 5; }));
    }

    void a_waiting_call_times_out()
    {
        http_connection_pool pool({"127.0.0.1", server_->port()}, http_limits(), 1);
        std::vector<exchange_error> errors;
        for (int n = 0; n < 2; ++n) {
            pool.send({.method = "GET", .target = "/"}, steady_now() + milliseconds(20),
                      [&errors](const exchange_result& it) { errors.push_back(it.error); });
        }
        CPPUNIT_ASSERT(run_until([&] {
            pool.on_tick(steady_now());
            return errors.size() == 2;
        }));
        CPPUNIT_ASSERT(errors[0] == exchange_error::timed_out);
        CPPUNIT_ASSERT(errors[1] == exchange_error::timed_out);
    }

    void a_disconnected_caller_is_reported_and_not_answered()
    {
        auto connection = std::make_unique<persistent_connection>(
            endpoint{"127.0.0.1", server_->port()}, http_limits());
        std::optional<exchange_result> result;
        send(*connection, result, milliseconds(5000));
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 1; }));
        connection.reset();
        CPPUNIT_ASSERT(run_until([&] { return handler_->abandoned.size() == 1; }));
        CPPUNIT_ASSERT(handler_->abandoned == handler_->calls);
        server_->answer(handler_->calls[0], {.status = 200});
    }

    void pipelined_requests_are_answered_in_order()
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, server_->port());
        socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 1; }));
        CPPUNIT_ASSERT(!run_until([&] { return handler_->calls.size() > 1; }, milliseconds(30)));
        server_->answer(handler_->calls[0], {.status = 200, .body = "one"});
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 2; }));
        server_->answer(handler_->calls[1], {.status = 404, .body = "two"});
        CPPUNIT_ASSERT(run_until([&] { return socket.peek(4096).contains("two"); }));
        const QByteArray all = socket.readAll();
        CPPUNIT_ASSERT(all.indexOf("one") < all.indexOf("two"));
    }

    void an_incomplete_request_is_closed_at_its_deadline()
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, server_->port());
        socket.write("POST /1 HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        CPPUNIT_ASSERT(run_until([&] {
            server_->on_tick(steady_now());
            return socket.state() == QAbstractSocket::UnconnectedState;
        }));
        CPPUNIT_ASSERT(handler_->calls.empty());
    }

    void fragments_do_not_extend_the_time_of_a_request()
    {
        constexpr int max_fragments = 1000;
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, server_->port());
        socket.write("POST /1 HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
        int fragments = 0;
        while (socket.state() != QAbstractSocket::UnconnectedState && fragments < max_fragments) {
            socket.write("x");
            ++fragments;
            run_until([] { return false; }, milliseconds(5));
            server_->on_tick(steady_now());
        }
        CPPUNIT_ASSERT(fragments < max_fragments);
        CPPUNIT_ASSERT(handler_->calls.empty());
    }

    void bytes_that_pile_up_behind_an_open_call_end_the_connection()
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, server_->port());
        socket.write("POST /1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 1; }));
        constexpr qsizetype more_than_any_request = 3 << 20;
        socket.write(QByteArray(more_than_any_request, 'x'));
        CPPUNIT_ASSERT(
            run_until([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
    }

    void a_request_is_not_sent_after_its_deadline()
    {
        persistent_connection connection({"127.0.0.1", server_->port()}, http_limits());
        std::optional<exchange_result> result;
        send(connection, result, milliseconds(20));
        // The process is stopped while the connection is being established.
        std::this_thread::sleep_for(milliseconds(50));
        run_until([] { return false; }, milliseconds(50));
        CPPUNIT_ASSERT(handler_->calls.empty());
        connection.on_tick(steady_now());
        CPPUNIT_ASSERT(result.has_value() && result->error == exchange_error::timed_out);
    }

    void answers_during_shutdown_close_the_connection()
    {
        persistent_connection connection({"127.0.0.1", server_->port()}, http_limits());
        std::optional<exchange_result> result;
        send(connection, result, milliseconds(5000));
        CPPUNIT_ASSERT(run_until([&] { return handler_->calls.size() == 1; }));
        server_->close_after_answers();
        server_->answer(handler_->calls[0], {.status = 200});
        CPPUNIT_ASSERT(run_until([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->error == exchange_error::none);
        CPPUNIT_ASSERT(!connection.open());
    }

  private:
    static void send(persistent_connection& connection, std::optional<exchange_result>& result,
                     milliseconds timeout)
    {
        connection.send({.method = "GET", .target = "/"}, steady_now() + timeout,
                        [&result](const exchange_result& it) { result = it; });
    }

    std::unique_ptr<recording_handler> handler_;
    std::unique_ptr<request_server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(persistent_http_test);

} // namespace

} // namespace papayafall
