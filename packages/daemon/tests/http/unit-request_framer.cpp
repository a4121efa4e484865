#include "papayafall/daemon/http/request_framer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace papayafall;

namespace {

constexpr std::size_t max_header_size = 256;
constexpr std::size_t max_body_size = 100;

std::uint16_t rejection_status(const std::string& text)
{
    request_framer framer(max_header_size, max_body_size);
    const framing_result found = framer.inspect(text);
    const auto* reason = std::get_if<frame_rejected>(&found);
    CPPUNIT_ASSERT_MESSAGE(text, reason != nullptr);
    return reason->status;
}

std::string with_header(const std::string& lines)
{
    return "POST / HTTP/1.1\r\n" + lines + "\r\n";
}

class request_framer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_framer_test);
    CPPUNIT_TEST(request_is_delimited_byte_by_byte);
    CPPUNIT_TEST(version_and_connection_header_determine_keep_alive);
    CPPUNIT_TEST(ambiguous_headers_are_rejected);
    CPPUNIT_TEST(oversized_requests_are_rejected);
    CPPUNIT_TEST(expect_continue_is_reported);
    CPPUNIT_TEST_SUITE_END();

  public:
    void request_is_delimited_byte_by_byte()
    {
        const std::string text = with_header("content-length:  4 \r\nA: b\r\n") + "body";
        request_framer framer(max_header_size, max_body_size);
        for (std::size_t n = 0; n < text.size(); ++n) {
            CPPUNIT_ASSERT(framer.inspect(std::string_view(text).substr(0, n)) ==
                           framing_result(frame_incomplete{}));
        }
        const framing_result complete = frame_complete{.size = text.size(), .keep_alive = true};
        CPPUNIT_ASSERT(framer.inspect(text + "GET / HTTP/1.1\r\n") == complete);
        framer.reset();
        CPPUNIT_ASSERT(framer.inspect("GET / HTTP/1.1\r\n\r\n") ==
                       framing_result(frame_complete{.size = 18, .keep_alive = true}));
    }

    void version_and_connection_header_determine_keep_alive()
    {
        const auto keep_alive = [](const std::string& text) {
            request_framer framer(max_header_size, max_body_size);
            return std::get<frame_complete>(framer.inspect(text)).keep_alive;
        };
        CPPUNIT_ASSERT(!keep_alive("GET / HTTP/1.0\r\n\r\n"));
        CPPUNIT_ASSERT(keep_alive("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"));
        CPPUNIT_ASSERT(!keep_alive(with_header("Connection: Close\r\n")));
        CPPUNIT_ASSERT(!keep_alive(with_header("connection: keep-alive, close\r\n")));
    }

    void ambiguous_headers_are_rejected()
    {
        using namespace std::string_literals;
        for (const std::string& it :
             {"Content-Length: 1\r\nContent-Length: 1\r\n"s, "Content-Length: +1\r\n"s,
              "Content-Length: 1, 1\r\n"s, "Content-Length: 0x1\r\n"s, "Content-Length:\r\n"s,
              "Content-Length : 1\r\n"s, " Content-Length: 1\r\n"s, "A: b\r\n c\r\n"s,
              "A: b\nTransfer-Encoding: chunked\r\n"s, "A: b\rC: d\r\n"s, "A: \0b\r\n"s, "A\r\n"s,
              ": b\r\n"s, "Upgrade: websocket\r\n"s}) {
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, rejection_status(with_header(it)));
        }
        for (const char* it : {"", "GET", "GET /", " / HTTP/1.1", "GET  HTTP/1.1",
                               "GET / x HTTP/1.1", "GET /\x01 HTTP/1.1"}) {
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, rejection_status(it + "\r\n\r\n"s));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{505}, rejection_status("PRI * HTTP/2.0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{411},
                             rejection_status(with_header("Transfer-Encoding: chunked\r\n")));
    }

    void oversized_requests_are_rejected()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{413},
                             rejection_status(with_header("Content-Length: 101\r\n")));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{413}, rejection_status(with_header(
                                                     "Content-Length: 99999999999999999999\r\n")));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{431},
                             rejection_status(std::string(max_header_size + 1, 'A')));
        CPPUNIT_ASSERT_EQUAL(
            std::uint16_t{431},
            rejection_status(with_header("A: " + std::string(max_header_size, 'b') + "\r\n")));
    }

    void expect_continue_is_reported()
    {
        request_framer framer(max_header_size, max_body_size);
        const std::string header = with_header("Expect: 100-Continue\r\nContent-Length: 1\r\n");
        CPPUNIT_ASSERT(framer.inspect(header) ==
                       framing_result(frame_incomplete{.expects_continue = true}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_framer_test);

} // namespace
