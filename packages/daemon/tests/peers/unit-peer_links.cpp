#include "support/peer_process.hpp"
#include "support/raw_peer.hpp"
#include "support/test_application.hpp"

#include <QUdpSocket>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <random>

using namespace papayafall;

namespace {

const peer_id raw_peer_id{host_name("raw"), incarnation_id(5)};

peer_options make_long_timeout_options(const std::string& host)
{
    peer_options options = make_peer_options(host);
    options.limits.receive_timeout = std::chrono::seconds(60);
    return options;
}

time_point steady_now()
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

request make_request(std::size_t size = 1)
{
    return request({.service = service_name("quote"), .tasks = {{bytes(std::string(size, 'x'))}}});
}

/// Posts one forwarded request and one delegation to `to`, both identified by `number`.
void post_request_and_delegation(peer_process& from, const raw_peer& to, std::uint64_t number = 1)
{
    from.traffic.post(
        forward_request{raw_peer_id, to.link(), correlation_id(number), make_request()});
    from.traffic.post(delegate_work{raw_peer_id, to.link(), exchange_id(number), work_item()});
}

/// Expects both messages of `post_request_and_delegation` to fail with the given results.
void expect_failed(peer_process& from, bool may_have_arrived, const exchange_outcome& outcome)
{
    const auto failed = from.events.wait_for<forward_failed>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
    CPPUNIT_ASSERT_EQUAL(may_have_arrived, failed[0].may_have_arrived);
    const auto finished = from.events.wait_for<exchange_finished>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == outcome);
}

/// Accepts a link and reads both messages of `post_request_and_delegation`.
void accept_request_and_delegation(raw_peer& peer)
{
    CPPUNIT_ASSERT(peer.accept());
    CPPUNIT_ASSERT(peer.complete_handshake(raw_peer_id));
    CPPUNIT_ASSERT(peer.read_non_heartbeat().has_value());
    CPPUNIT_ASSERT(peer.read_non_heartbeat().has_value());
}

std::string rejected_count(const peer_process& process, const std::string& error)
{
    return process.metric("papayafall_peer_rejected_total{error=\"" + error + "\"}");
}

std::string closed_count(const peer_process& process, const std::string& reason)
{
    return process.metric(R"(papayafall_peer_links_closed_total{direction="outgoing",reason=")" +
                          reason + R"("})");
}

/// Link failures, observed by the process that opened the link.
class outgoing_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outgoing_link_test);
    CPPUNIT_TEST(handshake_timeout_reports_not_sent);
    CPPUNIT_TEST(disconnect_before_handshake_reports_not_sent);
    CPPUNIT_TEST(receive_timeout_reports_possible_delivery);
    CPPUNIT_TEST(disconnect_after_write_reports_possible_delivery);
    CPPUNIT_TEST(lost_link_is_replaced_for_the_next_message);
    CPPUNIT_TEST(queue_of_a_stalled_link_is_limited);
    CPPUNIT_TEST(missing_answer_expires_after_its_deadline);
    CPPUNIT_TEST(idle_link_is_closed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void handshake_timeout_reports_not_sent()
    {
        peer_process entry(make_peer_options("entry"));
        raw_peer peer;
        post_request_and_delegation(entry, peer);
        CPPUNIT_ASSERT(peer.accept());
        expect_failed(entry, false, not_sent{});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed_count(entry, "connect_timeout"));
    }

    void disconnect_before_handshake_reports_not_sent()
    {
        peer_process entry(make_long_timeout_options("entry"));
        raw_peer peer;
        post_request_and_delegation(entry, peer);
        CPPUNIT_ASSERT(peer.accept());
        peer.abort();
        expect_failed(entry, false, not_sent{});
    }

    void receive_timeout_reports_possible_delivery()
    {
        peer_process entry(make_peer_options("entry"));
        raw_peer peer;
        post_request_and_delegation(entry, peer);
        accept_request_and_delegation(peer);
        expect_failed(entry, true, connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed_count(entry, "silent"));
    }

    void disconnect_after_write_reports_possible_delivery()
    {
        peer_process entry(make_long_timeout_options("entry"));
        raw_peer peer;
        post_request_and_delegation(entry, peer);
        accept_request_and_delegation(peer);
        peer.abort();
        expect_failed(entry, true, connection_lost{});
    }

    void lost_link_is_replaced_for_the_next_message()
    {
        peer_process entry(make_long_timeout_options("entry"));
        raw_peer peer;
        post_request_and_delegation(entry, peer, 1);
        accept_request_and_delegation(peer);
        peer.abort();
        expect_failed(entry, true, connection_lost{});

        post_request_and_delegation(entry, peer, 2);
        accept_request_and_delegation(peer);
        peer.write(delegation_answer{exchange_id(2), task_answer{200, bytes("y")}});
        const auto finished = entry.events.wait_for<exchange_finished>(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, finished.size());
        CPPUNIT_ASSERT(finished[1].outcome == exchange_outcome(task_answer{200, bytes("y")}));
    }

    void queue_of_a_stalled_link_is_limited()
    {
        constexpr std::size_t count = 200;
        peer_options options = make_peer_options("entry");
        options.limits.max_queued_bytes = 40'000'000;
        peer_process entry(options);
        raw_peer peer;
        for (std::size_t n = 0; n < count; ++n) {
            entry.traffic.post(forward_request{raw_peer_id, peer.link(), correlation_id(n),
                                               make_request(1'000'000)});
        }
        CPPUNIT_ASSERT(peer.accept());
        CPPUNIT_ASSERT(peer.complete_handshake(raw_peer_id));

        const auto failed = entry.events.wait_for<forward_failed>(count);
        CPPUNIT_ASSERT_EQUAL(count, failed.size());
        const auto lost = std::count_if(failed.begin(), failed.end(),
                                        [](const auto& it) { return it.may_have_arrived; });
        CPPUNIT_ASSERT(lost >= 1);
        CPPUNIT_ASSERT(lost < 39);
        CPPUNIT_ASSERT(!failed[0].may_have_arrived);
    }

    void missing_answer_expires_after_its_deadline()
    {
        peer_options options = make_long_timeout_options("entry");
        options.limits.reply_grace_period = std::chrono::milliseconds(1);
        peer_process entry(options);
        raw_peer peer;
        const work_item work({.deadline = steady_now() + std::chrono::seconds(2)});
        entry.traffic.post(delegate_work{raw_peer_id, peer.link(), exchange_id(1), work});
        CPPUNIT_ASSERT(peer.accept());
        CPPUNIT_ASSERT(peer.complete_handshake(raw_peer_id));
        CPPUNIT_ASSERT(peer.read_non_heartbeat().has_value());
        const auto finished = entry.events.wait_for<exchange_finished>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
        CPPUNIT_ASSERT(finished[0].outcome == exchange_outcome(no_answer{}));
    }

    void idle_link_is_closed()
    {
        peer_options options = make_long_timeout_options("entry");
        options.limits.idle_timeout = std::chrono::milliseconds(100);
        peer_process entry(options);
        raw_peer peer;
        post_request_and_delegation(entry, peer);
        accept_request_and_delegation(peer);
        peer.write(forwarded_answer{correlation_id(1), completion()});
        peer.write(delegation_answer{exchange_id(1), task_answer{}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.events.wait_for<exchange_finished>().size());
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed_count(entry, "idle"));
    }
};

/// Invalid, replayed and unauthenticated input on links and on the heartbeat socket.
class incoming_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(incoming_link_test);
    CPPUNIT_TEST(oversized_frame_closes_the_link);
    CPPUNIT_TEST(large_frame_before_authentication_closes_the_link);
    CPPUNIT_TEST(replayed_frame_closes_the_link);
    CPPUNIT_TEST(replayed_hello_does_not_authenticate);
    CPPUNIT_TEST(duplicate_correlation_id_closes_the_link);
    CPPUNIT_TEST(answer_without_a_request_closes_the_link);
    CPPUNIT_TEST(random_bytes_close_the_link);
    CPPUNIT_TEST(connection_without_hello_times_out);
    CPPUNIT_TEST(answer_for_a_lost_link_is_dropped);
    CPPUNIT_TEST(incoming_links_are_limited);
    CPPUNIT_TEST(invalid_datagrams_are_dropped);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void oversized_frame_closes_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        connect_and_authenticate(peer, home);
        peer.write_bytes("\xff\xff\xff\x7f");
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "message_too_large"));
        expect_still_serving(home);
    }

    void large_frame_before_authentication_closes_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.complete_handshake(raw_peer_id));
        peer.write(forwarded_request{correlation_id(1), make_request(2 * max_hello_frame_size)});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "message_too_large"));
    }

    void replayed_frame_closes_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        connect_and_authenticate(peer, home);
        const std::string frame = peer.encode(forwarded_request{correlation_id(1), make_request()});
        peer.write_bytes(frame + frame);
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "message_not_authentic"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.events.wait_for<forward_received>().size());
        expect_still_serving(home);
    }

    void replayed_hello_does_not_authenticate()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer recorded;
        CPPUNIT_ASSERT(recorded.connect(home.link()));
        const std::string first =
            recorded.encode(hello{raw_peer_id, zone_name("north"), {7, 7, 7}});
        const std::string second = recorded.encode(delegated_work{exchange_id(1), work_item()});
        recorded.abort();

        raw_peer replaying;
        CPPUNIT_ASSERT(replaying.connect(home.link()));
        replaying.write_bytes(first + second);
        CPPUNIT_ASSERT(replaying.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "message_not_authentic"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.events.size());
    }

    void duplicate_correlation_id_closes_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        connect_and_authenticate(peer, home);
        peer.write(forwarded_request{correlation_id(1), make_request()});
        peer.write(forwarded_request{correlation_id(1), make_request()});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "malformed_message"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.events.size());
    }

    void answer_without_a_request_closes_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        connect_and_authenticate(peer, home);
        peer.write(forwarded_answer{correlation_id(1), completion()});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected_count(home, "malformed_message"));
    }

    void random_bytes_close_the_link()
    {
        peer_process home(make_long_timeout_options("home"));
        std::mt19937 random(11);
        for (std::size_t n = 0; n < 50; ++n) {
            std::string data(2000, '\0');
            std::generate(data.begin(), data.end(),
                          [&random] { return static_cast<char>(random()); });
            raw_peer peer;
            CPPUNIT_ASSERT(peer.connect(home.link()));
            peer.write_bytes(data);
            CPPUNIT_ASSERT(peer.closed_by_peer());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.events.size());
        expect_still_serving(home);
    }

    void connection_without_hello_times_out()
    {
        peer_process home(make_peer_options("home"));
        raw_peer peer;
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.closed_by_peer());
    }

    void answer_for_a_lost_link_is_dropped()
    {
        peer_process home(make_long_timeout_options("home"));
        raw_peer peer;
        connect_and_authenticate(peer, home);
        peer.write(forwarded_request{correlation_id(1), make_request()});
        const auto received = home.events.wait_for<forward_received>();
        peer.write_bytes("\xff\xff\xff\xff");
        CPPUNIT_ASSERT(peer.closed_by_peer());

        home.traffic.post(answer_forward{received.at(0).origin, completion()});
        expect_still_serving(home);
        CPPUNIT_ASSERT_EQUAL(std::string("0"),
                             home.metric("papayafall_peer_messages_total{direction=\"sent\",kind="
                                         "\"forwarded_answer\"}"));
    }

    void incoming_links_are_limited()
    {
        peer_options options = make_long_timeout_options("home");
        options.limits.max_incoming_links = 1;
        peer_process home(options);
        raw_peer first;
        connect_and_authenticate(first, home);
        raw_peer second;
        CPPUNIT_ASSERT(second.connect(home.link()));
        CPPUNIT_ASSERT(second.closed_by_peer());
    }

    void invalid_datagrams_are_dropped()
    {
        peer_process home(make_long_timeout_options("home"));
        peer_process entry(make_long_timeout_options("entry"));
        const endpoint address = home.traffic.datagrams();
        std::mt19937 random(12);
        QUdpSocket socket;
        for (std::size_t n = 0; n < 50; ++n) {
            std::string data(random() % (2 * max_datagram_size),
                             static_cast<char>(peer_protocol_version));
            std::generate(data.begin() + 1, data.end(),
                          [&random] { return static_cast<char>(random()); });
            socket.writeDatagram(data.data(), static_cast<qint64>(data.size()),
                                 QHostAddress::LocalHost, address.port);
        }
        const heartbeat beat({.host = host_name("entry")});
        entry.traffic.post(send_heartbeat{{address}, beat});
        CPPUNIT_ASSERT(home.events.wait_for<heartbeat_received>().at(0).beat == beat);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.events.size());
        CPPUNIT_ASSERT(!rejected_count(home, "message_not_authentic").empty());
        CPPUNIT_ASSERT(!rejected_count(home, "message_too_large").empty());
    }

  private:
    /// Connects `peer` to `home` and sends the frame after the hello, which proves that it holds
    /// the key.
    static void connect_and_authenticate(raw_peer& peer, const peer_process& home)
    {
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.complete_handshake(raw_peer_id));
        peer.write(link_heartbeat{});
    }

    static void expect_still_serving(peer_process& home)
    {
        peer_process entry(make_long_timeout_options("entry"));
        entry.traffic.post(fetch_configuration{home.id, home.link()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             entry.events.wait_for<configuration_received>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outgoing_link_test);
CPPUNIT_TEST_SUITE_REGISTRATION(incoming_link_test);

} // namespace
