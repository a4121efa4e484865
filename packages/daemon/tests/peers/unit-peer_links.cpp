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

const peer_id raw_id{host_name("raw"), incarnation_id(5)};

peer_options make_patient_options(const std::string& host)
{
    peer_options options = make_peer_options(host);
    options.limits.silence_limit = std::chrono::seconds(60);
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

/// Posts one forwarded request and one delegation to `to`.
void post_both(peer_process& from, const raw_peer& to, std::uint64_t number = 1)
{
    from.traffic.post(forward_request{raw_id, to.link(), correlation_id(number), make_request()});
    from.traffic.post(delegate_work{raw_id, to.link(), exchange_id(number), work_item()});
}

/// Expects that what `post_both` posted failed, and how.
void expect_failed(peer_process& from, bool may_have_arrived, const exchange_outcome& outcome)
{
    const auto failed = from.events.wait_for<forward_failed>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
    CPPUNIT_ASSERT_EQUAL(may_have_arrived, failed[0].may_have_arrived);
    const auto finished = from.events.wait_for<exchange_finished>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == outcome);
}

/// Lets the raw peer accept, and read what `post_both` posted.
void accept_both(raw_peer& peer)
{
    CPPUNIT_ASSERT(peer.accept());
    CPPUNIT_ASSERT(peer.shake_hands(raw_id));
    CPPUNIT_ASSERT(peer.read_content().has_value());
    CPPUNIT_ASSERT(peer.read_content().has_value());
}

std::string rejected(const peer_process& process, const std::string& error)
{
    return process.metric("papayafall_peer_rejected_total{error=\"" + error + "\"}");
}

std::string closed(const peer_process& process, const std::string& reason)
{
    return process.metric(R"(papayafall_peer_links_closed_total{direction="outgoing",reason=")" +
                          reason + R"("})");
}

/// Failures of links, seen by the end that opened them.
class outgoing_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outgoing_link_test);
    CPPUNIT_TEST(peer_that_never_answers_the_hello_got_nothing);
    CPPUNIT_TEST(peer_that_dies_before_the_hello_got_nothing);
    CPPUNIT_TEST(peer_that_falls_silent_may_have_got_the_message);
    CPPUNIT_TEST(peer_that_dies_may_have_got_the_message);
    CPPUNIT_TEST(message_after_a_lost_link_goes_over_a_fresh_one);
    CPPUNIT_TEST(queue_of_a_stuck_link_is_bounded_and_not_sent);
    CPPUNIT_TEST(missing_answer_is_given_up_after_its_deadline);
    CPPUNIT_TEST(unused_link_is_closed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void peer_that_never_answers_the_hello_got_nothing()
    {
        peer_process entry(make_peer_options("entry"));
        raw_peer peer;
        post_both(entry, peer);
        CPPUNIT_ASSERT(peer.accept());
        expect_failed(entry, false, not_sent{});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed(entry, "connect_timeout"));
    }

    void peer_that_dies_before_the_hello_got_nothing()
    {
        peer_process entry(make_patient_options("entry"));
        raw_peer peer;
        post_both(entry, peer);
        CPPUNIT_ASSERT(peer.accept());
        peer.abort();
        expect_failed(entry, false, not_sent{});
    }

    void peer_that_falls_silent_may_have_got_the_message()
    {
        peer_process entry(make_peer_options("entry"));
        raw_peer peer;
        post_both(entry, peer);
        accept_both(peer);
        expect_failed(entry, true, connection_lost{});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed(entry, "silent"));
    }

    void peer_that_dies_may_have_got_the_message()
    {
        peer_process entry(make_patient_options("entry"));
        raw_peer peer;
        post_both(entry, peer);
        accept_both(peer);
        peer.abort();
        expect_failed(entry, true, connection_lost{});
    }

    void message_after_a_lost_link_goes_over_a_fresh_one()
    {
        peer_process entry(make_patient_options("entry"));
        raw_peer peer;
        post_both(entry, peer, 1);
        accept_both(peer);
        peer.abort();
        expect_failed(entry, true, connection_lost{});

        post_both(entry, peer, 2);
        accept_both(peer);
        peer.write(delegation_answer{exchange_id(2), task_answer{200, bytes("y")}});
        const auto finished = entry.events.wait_for<exchange_finished>(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, finished.size());
        CPPUNIT_ASSERT(finished[1].outcome == exchange_outcome(task_answer{200, bytes("y")}));
    }

    void queue_of_a_stuck_link_is_bounded_and_not_sent()
    {
        constexpr std::size_t count = 200;
        peer_options options = make_peer_options("entry");
        options.limits.queued_bytes = 40'000'000;
        peer_process entry(options);
        raw_peer peer;
        for (std::size_t n = 0; n < count; ++n) {
            entry.traffic.post(
                forward_request{raw_id, peer.link(), correlation_id(n), make_request(1'000'000)});
        }
        CPPUNIT_ASSERT(peer.accept());
        CPPUNIT_ASSERT(peer.shake_hands(raw_id));

        const auto failed = entry.events.wait_for<forward_failed>(count);
        CPPUNIT_ASSERT_EQUAL(count, failed.size());
        const auto lost = std::count_if(failed.begin(), failed.end(),
                                        [](const auto& it) { return it.may_have_arrived; });
        CPPUNIT_ASSERT(lost >= 1);
        CPPUNIT_ASSERT(lost < 39);
        CPPUNIT_ASSERT(!failed[0].may_have_arrived);
    }

    void missing_answer_is_given_up_after_its_deadline()
    {
        peer_options options = make_patient_options("entry");
        options.limits.reply_grace = std::chrono::milliseconds(1);
        peer_process entry(options);
        raw_peer peer;
        const work_item work({.deadline = steady_now() + std::chrono::seconds(2)});
        entry.traffic.post(delegate_work{raw_id, peer.link(), exchange_id(1), work});
        CPPUNIT_ASSERT(peer.accept());
        CPPUNIT_ASSERT(peer.shake_hands(raw_id));
        CPPUNIT_ASSERT(peer.read_content().has_value());
        const auto finished = entry.events.wait_for<exchange_finished>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
        CPPUNIT_ASSERT(finished[0].outcome == exchange_outcome(no_answer{}));
    }

    void unused_link_is_closed()
    {
        peer_options options = make_patient_options("entry");
        options.limits.idle_limit = std::chrono::milliseconds(100);
        peer_process entry(options);
        raw_peer peer;
        post_both(entry, peer);
        accept_both(peer);
        peer.write(forwarded_answer{correlation_id(1), completion()});
        peer.write(delegation_answer{exchange_id(1), task_answer{}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.events.wait_for<exchange_finished>().size());
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), closed(entry, "idle"));
    }
};

/// Peers and strangers that send what they must not.
class incoming_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(incoming_link_test);
    CPPUNIT_TEST(oversized_frame_closes_the_link);
    CPPUNIT_TEST(large_frame_before_proof_of_the_key_closes_the_link);
    CPPUNIT_TEST(replayed_frame_closes_the_link);
    CPPUNIT_TEST(replayed_hello_proves_nothing);
    CPPUNIT_TEST(number_used_twice_closes_the_link);
    CPPUNIT_TEST(answer_without_a_request_closes_the_link);
    CPPUNIT_TEST(random_bytes_close_the_link);
    CPPUNIT_TEST(stranger_that_says_nothing_is_closed);
    CPPUNIT_TEST(answer_for_a_lost_link_is_dropped);
    CPPUNIT_TEST(links_are_bounded);
    CPPUNIT_TEST(hostile_datagrams_are_dropped);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void oversized_frame_closes_the_link()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        connect_and_prove(peer, home);
        peer.write_bytes("\xff\xff\xff\x7f");
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "message_too_large"));
        expect_still_serving(home);
    }

    void large_frame_before_proof_of_the_key_closes_the_link()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.shake_hands(raw_id));
        peer.write(forwarded_request{correlation_id(1), make_request(2 * max_hello_frame_size)});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "message_too_large"));
    }

    void replayed_frame_closes_the_link()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        connect_and_prove(peer, home);
        const std::string frame = peer.encode(forwarded_request{correlation_id(1), make_request()});
        peer.write_bytes(frame + frame);
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "message_not_authentic"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.events.wait_for<forward_received>().size());
        expect_still_serving(home);
    }

    void replayed_hello_proves_nothing()
    {
        peer_process home(make_patient_options("home"));
        raw_peer recorded;
        CPPUNIT_ASSERT(recorded.connect(home.link()));
        const std::string first = recorded.encode(hello{raw_id, zone_name("north"), {7, 7, 7}});
        const std::string second = recorded.encode(delegated_work{exchange_id(1), work_item()});
        recorded.abort();

        raw_peer replaying;
        CPPUNIT_ASSERT(replaying.connect(home.link()));
        replaying.write_bytes(first + second);
        CPPUNIT_ASSERT(replaying.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "message_not_authentic"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.events.size());
    }

    void number_used_twice_closes_the_link()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        connect_and_prove(peer, home);
        peer.write(forwarded_request{correlation_id(1), make_request()});
        peer.write(forwarded_request{correlation_id(1), make_request()});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "malformed_message"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.events.size());
    }

    void answer_without_a_request_closes_the_link()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        connect_and_prove(peer, home);
        peer.write(forwarded_answer{correlation_id(1), completion()});
        CPPUNIT_ASSERT(peer.closed_by_peer());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected(home, "malformed_message"));
    }

    void random_bytes_close_the_link()
    {
        peer_process home(make_patient_options("home"));
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

    void stranger_that_says_nothing_is_closed()
    {
        peer_process home(make_peer_options("home"));
        raw_peer peer;
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.closed_by_peer());
    }

    void answer_for_a_lost_link_is_dropped()
    {
        peer_process home(make_patient_options("home"));
        raw_peer peer;
        connect_and_prove(peer, home);
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

    void links_are_bounded()
    {
        peer_options options = make_patient_options("home");
        options.limits.incoming_links = 1;
        peer_process home(options);
        raw_peer first;
        connect_and_prove(first, home);
        raw_peer second;
        CPPUNIT_ASSERT(second.connect(home.link()));
        CPPUNIT_ASSERT(second.closed_by_peer());
    }

    void hostile_datagrams_are_dropped()
    {
        peer_process home(make_patient_options("home"));
        peer_process entry(make_patient_options("entry"));
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
        CPPUNIT_ASSERT(!rejected(home, "message_not_authentic").empty());
        CPPUNIT_ASSERT(!rejected(home, "message_too_large").empty());
    }

  private:
    /// Links `peer` to `home` and proves that it holds the key.
    static void connect_and_prove(raw_peer& peer, const peer_process& home)
    {
        CPPUNIT_ASSERT(peer.connect(home.link()));
        CPPUNIT_ASSERT(peer.shake_hands(raw_id));
        peer.write(link_heartbeat{});
    }

    static void expect_still_serving(peer_process& home)
    {
        peer_process entry(make_patient_options("entry"));
        entry.traffic.post(fetch_configuration{home.id, home.link()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             entry.events.wait_for<configuration_received>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outgoing_link_test);
CPPUNIT_TEST_SUITE_REGISTRATION(incoming_link_test);

} // namespace
