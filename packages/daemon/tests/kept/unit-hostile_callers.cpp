#include "kept/recording_handler.hpp"
#include "support/event_loop.hpp"
#include "support/test_application.hpp"

#include "papayafall/daemon/kept/request_server.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/http/http_status_code.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTcpSocket>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace papayafall {

namespace {

/// Answers each request at once, as a server does that refuses it.
class refusing_handler : public request_handler {
  public:
    void on_request(call_id call, const http_request_message& /*request*/,
                    time_point /*received_at*/) override
    {
        ++requests;
        server->answer(call, {.status = http_status_code::method_not_allowed});
    }

    void on_abandoned(call_id /*call*/) override {}

    request_server* server = nullptr;
    std::size_t requests = 0;
};

/// Caller that sends bytes as they are, and counts the answers.
class raw_caller {
  public:
    explicit raw_caller(std::uint16_t port) { socket_.connectToHost("127.0.0.1", port); }

    void send(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    /// From now on leaves the answers in the socket.
    void stop_reading() { socket_.setReadBufferSize(1); }

    std::size_t read_answers()
    {
        const QByteArray received = socket_.readAll();
        reader_.feed({received.data(), static_cast<std::size_t>(received.size())});
        while (reader_.next()) {
            ++answers_;
        }
        return answers_;
    }

    bool closed() const { return socket_.state() == QAbstractSocket::UnconnectedState; }

  private:
    QTcpSocket socket_;
    http_reader<http_reply_message> reader_{http_limits()};
    std::size_t answers_ = 0;
};

std::string repeated(const std::string& text, std::size_t count)
{
    std::string found;
    found.reserve(text.size() * count);
    for (std::size_t n = 0; n < count; ++n) {
        found += text;
    }
    return found;
}

/// Byte streams that no sound caller sends. Each has to be answered, or its connection closed.
class hostile_callers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hostile_callers_test);
    CPPUNIT_TEST(many_requests_in_one_go_are_all_answered);
    CPPUNIT_TEST(a_caller_that_reads_no_answers_is_disconnected);
    CPPUNIT_TEST(other_callers_are_answered_beside_one_with_many_requests);
    CPPUNIT_TEST(damaged_requests_are_answered_or_end_the_connection);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        ensure_application();
        handler_ = std::make_unique<refusing_handler>();
        server_ = std::make_unique<request_server>(
            request_server_options{.listen = {"127.0.0.1", 0}}, *handler_);
        handler_->server = server_.get();
    }

    void tearDown() override
    {
        server_.reset();
        handler_.reset();
    }

    // Guards against the end of the process: the answer to a request handled the next one, which
    // took one more part of the stack for each request that had arrived.
    void many_requests_in_one_go_are_all_answered()
    {
        constexpr std::size_t count = 200'000;
        raw_caller caller(server_->port());
        caller.send(repeated("PUT /a HTTP/1.1\r\nHost: a\r\n\r\n", count));
        CPPUNIT_ASSERT(run_until([&] { return caller.read_answers() == count; }));
        CPPUNIT_ASSERT(!caller.closed());
    }

    void a_caller_that_reads_no_answers_is_disconnected()
    {
        constexpr std::size_t count = 20'000;
        raw_caller caller(server_->port());
        caller.stop_reading();
        const std::string requests = repeated("PUT /a HTTP/1.1\r\nHost: a\r\n\r\n", count);
        CPPUNIT_ASSERT(run_until([&] {
            if (!caller.closed()) {
                caller.send(requests);
            }
            return caller.closed();
        }));
    }

    void other_callers_are_answered_beside_one_with_many_requests()
    {
        constexpr std::size_t count = 200'000;
        raw_caller greedy(server_->port());
        greedy.send(repeated("PUT /a HTTP/1.1\r\nHost: a\r\n\r\n", count));
        CPPUNIT_ASSERT(run_until([&] { return handler_->requests > 0; }));
        raw_caller other(server_->port());
        other.send("PUT /a HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(run_until([&] { return other.read_answers() == 1; }));
        CPPUNIT_ASSERT(handler_->requests < count);
    }

    void damaged_requests_are_answered_or_end_the_connection()
    {
        constexpr unsigned seeds = 300;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            raw_caller caller(server_->port());
            caller.send(damaged_requests(seed));
            caller.send("\r\n\r\n"); // ends a header whose end was cut off
            const bool ended = run_until([&] {
                server_->on_tick(steady_now() + request_server_options().receive_timeout);
                return caller.read_answers() > 0 || caller.closed();
            });
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), ended);
        }
    }

  private:
    /// Sound requests with some bytes cut, changed or doubled, or moved into one another.
    static std::string damaged_requests(unsigned seed)
    {
        std::mt19937 random(seed);
        const auto below = [&random](std::size_t n) {
            return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
        };
        std::string bytes =
            "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{\"a\": 12}"
            "GET /jobs HTTP/1.1\r\nHost: a\r\n\r\n"
            "POST /jobs/2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\n{\"a\"\r\n3\r\n:1}\r\n0\r\n\r\n";
        constexpr std::size_t max_changes = 8;
        const std::size_t changes = 1 + below(max_changes);
        for (std::size_t n = 0; n < changes && bytes.size() > 1; ++n) {
            const std::size_t at = below(bytes.size());
            const std::size_t length = 1 + below(bytes.size() - at);
            switch (below(4)) {
            case 0:
                bytes.erase(at, length);
                break;
            case 1:
                bytes[at] = static_cast<char>(below(256));
                break;
            case 2:
                bytes.insert(at, bytes.substr(at, length));
                break;
            default:
                std::rotate(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(at),
                            bytes.end());
            }
        }
        return bytes;
    }

    std::unique_ptr<refusing_handler> handler_;
    std::unique_ptr<request_server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(hostile_callers_test);

} // namespace

} // namespace papayafall
