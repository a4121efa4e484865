#include "support/peer_process.hpp"
#include "support/test_application.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;

namespace {

request make_request(std::uint64_t fingerprint)
{
    return request(
        {.service = service_name("quote"), .fingerprint = fingerprint, .tasks = {{bytes("x")}}});
}

answer make_answer(const std::string& body)
{
    return completion({{{200, bytes(body)}}});
}

class peer_traffic_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_traffic_test);
    CPPUNIT_TEST(forwarded_request_gets_the_answer_of_its_home);
    CPPUNIT_TEST(forwarded_cancel_gets_an_answer);
    CPPUNIT_TEST(delegated_work_gets_its_result);
    CPPUNIT_TEST(abandoned_delegation_is_cancelled_and_not_answered);
    CPPUNIT_TEST(heartbeat_reaches_each_peer);
    CPPUNIT_TEST(configuration_is_fetched);
    CPPUNIT_TEST(thousands_of_messages_keep_their_order);
    CPPUNIT_TEST(message_for_another_incarnation_is_not_sent);
    CPPUNIT_TEST(message_with_another_key_is_not_sent);
    CPPUNIT_TEST(refused_connection_reports_not_sent);
    CPPUNIT_TEST(expired_deadline_reports_not_sent);
    CPPUNIT_TEST(answers_posted_before_shutdown_are_written);
    CPPUNIT_TEST(messages_and_links_are_counted);
    CPPUNIT_TEST(invalid_settings_are_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void forwarded_request_gets_the_answer_of_its_home()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home"));
        entry.traffic.post(
            forward_request{home.id, home.link(), correlation_id(4), make_request(9)});

        const auto received = home.events.wait_for<forward_received>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
        CPPUNIT_ASSERT(received[0].content == make_request(9));
        CPPUNIT_ASSERT((received[0].origin == peer_origin{entry.id, correlation_id(4)}));

        home.traffic.post(answer_forward{received[0].origin, make_answer("done")});
        const auto answered = entry.events.wait_for<forward_answered>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answered.size());
        CPPUNIT_ASSERT(answered[0].correlation == correlation_id(4));
        CPPUNIT_ASSERT(answered[0].result == make_answer("done"));
    }

    void forwarded_cancel_gets_an_answer()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home"));
        const request_key key = caller_key{"key", std::nullopt};
        entry.traffic.post(forward_cancel{home.id, home.link(), correlation_id(5), key});

        const auto received = home.events.wait_for<cancel_received>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
        CPPUNIT_ASSERT(received[0].key == key);
        const auto origin = std::get<peer_origin>(received[0].origin);
        const failure cancelled{error_id::cancelled, run_state::not_run, "", no_deadline};
        home.traffic.post(answer_forward{origin, cancelled});
        CPPUNIT_ASSERT(entry.events.wait_for<forward_answered>().at(0).result == answer(cancelled));
    }

    void delegated_work_gets_its_result()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process helper(make_peer_options("helper"));
        const work_item work({.service = service_name("quote"), .body = bytes("x")});
        entry.traffic.post(delegate_work{helper.id, helper.link(), exchange_id(1), work});
        entry.traffic.post(delegate_work{helper.id, helper.link(), exchange_id(2), work});

        const auto received = helper.events.wait_for<delegation_received>(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.size());
        CPPUNIT_ASSERT((received[0].owner == peer_owner{entry.id, exchange_id(1)}));
        const failure refused{error_id::no_target, run_state::not_run, "", no_deadline};
        helper.traffic.post(answer_delegation{received[1].owner, refused});
        helper.traffic.post(answer_delegation{received[0].owner, task_answer{200, bytes("y")}});

        const auto finished = entry.events.wait_for<exchange_finished>(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, finished.size());
        CPPUNIT_ASSERT(finished[0].exchange == exchange_id(2));
        CPPUNIT_ASSERT(finished[0].outcome == exchange_outcome(refused));
        CPPUNIT_ASSERT(finished[1].outcome == exchange_outcome(task_answer{200, bytes("y")}));
    }

    void abandoned_delegation_is_cancelled_and_not_answered()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process helper(make_peer_options("helper"));
        entry.traffic.post(delegate_work{helper.id, helper.link(), exchange_id(1), work_item()});
        const auto received = helper.events.wait_for<delegation_received>();
        entry.traffic.post(abandon_exchange{exchange_id(1)});
        const auto cancelled = helper.events.wait_for<delegation_cancelled>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled.size());
        CPPUNIT_ASSERT(cancelled[0].owner == received.at(0).owner);

        helper.traffic.post(answer_delegation{cancelled[0].owner, task_answer{}});
        entry.traffic.post(fetch_configuration{helper.id, helper.link()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             entry.events.wait_for<configuration_received>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.events.size());
    }

    void heartbeat_reaches_each_peer()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process first(make_peer_options("first"));
        peer_process second(make_peer_options("second"));
        const heartbeat beat({.host = host_name("entry"), .sequence = 3, .free_slots = 8});
        entry.traffic.post(
            send_heartbeat{{first.traffic.datagrams(), second.traffic.datagrams()}, beat});
        CPPUNIT_ASSERT(first.events.wait_for<heartbeat_received>().at(0).beat == beat);
        CPPUNIT_ASSERT(second.events.wait_for<heartbeat_received>().at(0).beat == beat);

        const heartbeat long_beat = beat.with(
            [](heartbeat_fields& it) { it.leaving_targets.resize(1000, target_name("target")); });
        entry.traffic.post(send_heartbeat{{first.traffic.datagrams()}, long_beat});
        const auto beats = first.events.wait_for<heartbeat_received>(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, beats.size());
        CPPUNIT_ASSERT(!beats[1].beat->leaving_targets.empty());
    }

    void configuration_is_fetched()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process other(make_peer_options("other"));
        const configuration current({.revision = revision_id(12)});
        other.traffic.post(configuration_applied{current, {}});
        entry.traffic.post(fetch_configuration{other.id, other.link()});
        CPPUNIT_ASSERT(entry.events.wait_for<configuration_received>().at(0).content == current);
    }

    void thousands_of_messages_keep_their_order()
    {
        constexpr std::uint64_t count = 5000;
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home"));
        for (std::uint64_t n = 0; n < count; ++n) {
            entry.traffic.post(
                forward_request{home.id, home.link(), correlation_id(n), make_request(n)});
        }
        const auto received = home.events.wait_for<forward_received>(count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, received.size());
        for (std::uint64_t n = 0; n < count; ++n) {
            CPPUNIT_ASSERT_EQUAL(n, received[n].content->fingerprint);
            home.traffic.post(answer_forward{received[n].origin, make_answer(std::to_string(n))});
        }
        const auto answered = entry.events.wait_for<forward_answered>(count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, answered.size());
        for (std::uint64_t n = 0; n < count; ++n) {
            CPPUNIT_ASSERT(answered[n].correlation == correlation_id(n));
            CPPUNIT_ASSERT(answered[n].result == make_answer(std::to_string(n)));
        }
    }

    void message_for_another_incarnation_is_not_sent()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home", 2));
        const peer_id earlier{home.id.host, incarnation_id(1)};
        entry.traffic.post(
            forward_request{earlier, home.link(), correlation_id(1), make_request(1)});
        entry.traffic.post(delegate_work{earlier, home.link(), exchange_id(1), work_item()});
        expect_not_sent(entry);

        entry.traffic.post(
            forward_request{home.id, home.link(), correlation_id(2), make_request(2)});
        const auto received = home.events.wait_for<forward_received>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
        CPPUNIT_ASSERT(received[0].origin.correlation == correlation_id(2));
    }

    void message_with_another_key_is_not_sent()
    {
        peer_options options = make_peer_options("stranger");
        options.shared_key = bytes("another key that is long enough");
        peer_process sender_with_other_key(options);
        peer_process home(make_peer_options("home"));
        sender_with_other_key.traffic.post(
            forward_request{home.id, home.link(), correlation_id(1), make_request(1)});
        sender_with_other_key.traffic.post(
            delegate_work{home.id, home.link(), exchange_id(1), work_item()});
        expect_not_sent(sender_with_other_key);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"),
            home.metric("papayafall_peer_rejected_total{error=\"message_not_authentic\"}"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, home.events.size());
    }

    void refused_connection_reports_not_sent()
    {
        peer_process entry(make_peer_options("entry"));
        peer_id stopped_peer;
        endpoint link;
        {
            const peer_process home(make_peer_options("home"));
            stopped_peer = home.id;
            link = home.link();
        }
        entry.traffic.post(forward_request{stopped_peer, link, correlation_id(1), make_request(1)});
        entry.traffic.post(delegate_work{stopped_peer, link, exchange_id(1), work_item()});
        expect_not_sent(entry);
    }

    void expired_deadline_reports_not_sent()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home"));
        const time_point past{};
        const request late = make_request(1).with([&](request_fields& it) { it.deadline = past; });
        const work_item late_work({.deadline = past});
        entry.traffic.post(forward_request{home.id, home.link(), correlation_id(1), late});
        entry.traffic.post(delegate_work{home.id, home.link(), exchange_id(1), late_work});
        expect_not_sent(entry);
    }

    void answers_posted_before_shutdown_are_written()
    {
        peer_process entry(make_peer_options("entry"));
        const std::string body(1'000'000, 'b');
        {
            peer_process home(make_peer_options("home"));
            entry.traffic.post(
                forward_request{home.id, home.link(), correlation_id(1), make_request(1)});
            const auto received = home.events.wait_for<forward_received>();
            home.traffic.post(answer_forward{received.at(0).origin, make_answer(body)});
        }
        CPPUNIT_ASSERT(entry.events.wait_for<forward_answered>().at(0).result == make_answer(body));
    }

    void messages_and_links_are_counted()
    {
        peer_process entry(make_peer_options("entry"));
        peer_process home(make_peer_options("home"));
        entry.traffic.post(
            forward_request{home.id, home.link(), correlation_id(1), make_request(1)});
        home.events.wait_for<forward_received>();
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             entry.metric("papayafall_peer_messages_total{direction=\"sent\",kind="
                                          "\"forwarded_request\"}"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             home.metric("papayafall_peer_links{direction=\"incoming\"}"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             entry.metric("papayafall_peer_links{direction=\"outgoing\"}"));
    }

    void invalid_settings_are_rejected()
    {
        peer_options short_key = make_peer_options("entry");
        short_key.shared_key = bytes("short");
        CPPUNIT_ASSERT_THROW(peer_process{short_key}, configuration_error);

        peer_options host_name_address = make_peer_options("entry");
        host_name_address.link.address = "localhost";
        CPPUNIT_ASSERT_THROW(peer_process{host_name_address}, configuration_error);

        const peer_process first(make_peer_options("entry"));
        peer_options port_in_use = make_peer_options("entry");
        port_in_use.link = first.link();
        CPPUNIT_ASSERT_THROW(peer_process{port_in_use}, configuration_error);
    }

  private:
    /// Expects one forwarded request and one delegation to fail as not sent.
    static void expect_not_sent(peer_process& sender)
    {
        const auto failed = sender.events.wait_for<forward_failed>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
        CPPUNIT_ASSERT(!failed[0].may_have_arrived);
        const auto finished = sender.events.wait_for<exchange_finished>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
        CPPUNIT_ASSERT(finished[0].outcome == exchange_outcome(not_sent{}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_traffic_test);

} // namespace
