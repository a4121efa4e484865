#include "support/event_loop.hpp"
#include "support/test_application.hpp"

#include "papayafall/daemon/jobs/job_links.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/wire/jobs/job_message.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTcpSocket>

#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

class recording_sink : public message_sink<job_event> {
  public:
    void post(job_event it) override { events_.push_back(std::move(it)); }

    template <typename Event>
    std::size_t count() const
    {
        std::size_t n = 0;
        for (const job_event& it : events_) {
            n += std::holds_alternative<Event>(it) ? 1 : 0;
        }
        return n;
    }

    /// The last event of a kind, or nullptr.
    template <typename Event>
    const Event* last() const
    {
        const Event* found = nullptr;
        for (const job_event& it : events_) {
            if (const auto* event = std::get_if<Event>(&it)) {
                found = event;
            }
        }
        return found;
    }

  private:
    std::vector<job_event> events_;
};

job_link_options options_of(const char* host, duration silence_timeout)
{
    job_link_options options{.host = host_name(host), .incarnation = incarnation_id(1)};
    options.listen = {"127.0.0.1", 0};
    options.silence_timeout = silence_timeout;
    return options;
}

job_order sample_order()
{
    job_spec_fields job{.id = job_id("0123456789abcdef"), .options = {.best_effort = true}};
    job.steps.push_back({.count = 1});
    return job_order_fields{.job = std::move(job), .queue = queue_name("check")};
}

void write(QTcpSocket& socket, const job_message& message)
{
    const std::string frame = encode_job_frame(message, steady_now());
    socket.write(frame.data(), static_cast<qint64>(frame.size()));
}

class job_links_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_links_test);
    CPPUNIT_TEST(a_delegated_job_is_answered_over_its_link);
    CPPUNIT_TEST(a_job_that_is_too_large_for_a_link_is_answered_as_refused);
    CPPUNIT_TEST(messages_buffered_on_a_silent_link_are_discarded);
    CPPUNIT_TEST(a_disconnected_host_is_not_reconnected);
    CPPUNIT_TEST(malformed_bytes_end_only_their_own_link);
    CPPUNIT_TEST(the_configuration_goes_over_a_link_in_either_direction);
    CPPUNIT_TEST(a_configuration_that_fits_no_frame_is_not_sent);
    CPPUNIT_TEST(evacuations_are_told_now_and_over_new_links);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void evacuations_are_told_now_and_over_new_links()
    {
        recording_sink sender_events;
        recording_sink receiver_events;
        job_links sender(options_of("e-1", std::chrono::seconds(60)), sender_events);
        job_links receiver(options_of("e-2", std::chrono::seconds(60)), receiver_events);
        zone_evacuation request{.zone = zone_name("a"), .revision = store_revision(7)};
        receiver.publish(publish_evacuation{request});
        sender.connect(entry_of("e-2", receiver.port()));
        CPPUNIT_ASSERT(
            run_until([&] { return sender_events.count<zone_evacuation_reported>() == 1; }));
        CPPUNIT_ASSERT(sender_events.last<zone_evacuation_reported>()->request == request);
        request.ended = true;
        sender.publish(publish_evacuation{request});
        CPPUNIT_ASSERT(
            run_until([&] { return receiver_events.count<zone_evacuation_reported>() == 1; }));
        CPPUNIT_ASSERT(receiver_events.last<zone_evacuation_reported>()->request == request);
    }

    void a_delegated_job_is_answered_over_its_link()
    {
        recording_sink sender_events;
        recording_sink receiver_events;
        job_links sender(options_of("e-1", std::chrono::seconds(60)), sender_events);
        job_links receiver(options_of("e-2", std::chrono::seconds(60)), receiver_events);
        sender.connect(entry_of("e-2", receiver.port()));
        CPPUNIT_ASSERT(run_until([&] { return sender_events.count<peer_connected>() == 1; }));
        sender.delegate({host_name("e-2"), delegation_id(4), sample_order()});
        CPPUNIT_ASSERT(
            run_until([&] { return receiver_events.count<delegation_received>() == 1; }));
        receiver.answer({{link_number(1), delegation_id(4)}, job_outcome::succeeded});
        CPPUNIT_ASSERT(run_until([&] { return sender_events.count<delegation_answered>() == 1; }));
    }

    // Guards against one request that ends each host that delegates it.
    void a_job_that_is_too_large_for_a_link_is_answered_as_refused()
    {
        recording_sink sender_events;
        recording_sink receiver_events;
        job_links sender(options_of("e-1", std::chrono::seconds(60)), sender_events);
        job_links receiver(options_of("e-2", std::chrono::seconds(60)), receiver_events);
        sender.connect(entry_of("e-2", receiver.port()));
        CPPUNIT_ASSERT(run_until([&] { return sender_events.count<peer_connected>() == 1; }));
        const job_order order = sample_order().with([](job_order_fields& it) {
            it.job = it.job.with([](job_spec_fields& job) { job.steps.resize(5000); });
        });
        sender.delegate({host_name("e-2"), delegation_id(4), order});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender_events.count<delegation_answered>());
        sender.delegate({host_name("e-2"), delegation_id(5), sample_order()});
        CPPUNIT_ASSERT(
            run_until([&] { return receiver_events.count<delegation_received>() == 1; }));
    }

    void messages_buffered_on_a_silent_link_are_discarded()
    {
        const milliseconds timeout(200);
        recording_sink events;
        job_links links(options_of("e-1", timeout), events);
        QTcpSocket peer;
        peer.connectToHost("127.0.0.1", links.port());
        write(peer, link_hello{host_name("e-2"), incarnation_id(2)});
        CPPUNIT_ASSERT(run_until([&] { return peer.bytesAvailable() > 0; }));
        write(peer, link_delegation{delegation_id(1), sample_order()});
        CPPUNIT_ASSERT(peer.waitForBytesWritten());
        // The process is blocked, as in a suspension, while the other end gives the link up.
        std::this_thread::sleep_for(2 * timeout);
        CPPUNIT_ASSERT(run_until([&] { return events.count<delegator_lost>() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, events.count<delegation_received>());
    }

    void the_configuration_goes_over_a_link_in_either_direction()
    {
        recording_sink opener_events;
        recording_sink accepter_events;
        job_links opener(options_of("e-1", std::chrono::seconds(60)), opener_events);
        job_links accepter(options_of("e-2", std::chrono::seconds(60)), accepter_events);
        accepter.publish(publish_configuration_version{4}); // before the link is opened
        opener.connect(entry_of("e-2", accepter.port()));
        expect_transfer(accepter, accepter_events, "e-2", opener, opener_events, 4);
        opener.publish(publish_configuration_version{5});
        expect_transfer(opener, opener_events, "e-1", accepter, accepter_events, 5);
    }

    void a_configuration_that_fits_no_frame_is_not_sent()
    {
        recording_sink opener_events;
        recording_sink accepter_events;
        job_links opener(options_of("e-1", std::chrono::seconds(60)), opener_events);
        job_links accepter(options_of("e-2", std::chrono::seconds(60)), accepter_events);
        opener.connect(entry_of("e-2", accepter.port()));
        CPPUNIT_ASSERT(run_until([&] { return opener_events.count<peer_connected>() == 1; }));
        queue_configuration_fields large{.version = 1};
        large.queues.push_back({.path_prefix = std::string(max_job_frame_size, '/')});
        opener.send({link_number(1), large});
        opener.delegate({host_name("e-2"), delegation_id(4), sample_order()});
        CPPUNIT_ASSERT(
            run_until([&] { return accepter_events.count<delegation_received>() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, accepter_events.count<configuration_read>());
    }

    void a_disconnected_host_is_not_reconnected()
    {
        recording_sink events;
        job_links links(options_of("e-1", std::chrono::seconds(60)), events);
        QTcpServer peer;
        CPPUNIT_ASSERT(peer.listen(QHostAddress::LocalHost));
        links.connect(entry_of("e-2", peer.serverPort()));
        CPPUNIT_ASSERT(run_until([&] { return peer.hasPendingConnections(); }));
        links.disconnect(host_name("e-2"));
        peer.nextPendingConnection();
        links.on_tick(steady_now() + std::chrono::seconds(5));
        CPPUNIT_ASSERT(!run_until([&] { return peer.hasPendingConnections(); }, milliseconds(100)));
    }

    void malformed_bytes_end_only_their_own_link()
    {
        constexpr int links_with_random_bytes = 100;
        recording_sink events;
        job_links links(options_of("e-1", std::chrono::seconds(60)), events);
        QTcpSocket peer;
        peer.connectToHost("127.0.0.1", links.port());
        write(peer, link_hello{host_name("e-2"), incarnation_id(2)});
        CPPUNIT_ASSERT(run_until([&] { return peer.bytesAvailable() > 0; }));
        std::mt19937_64 rng(1);
        for (int n = 0; n < links_with_random_bytes; ++n) {
            QTcpSocket hostile;
            hostile.connectToHost("127.0.0.1", links.port());
            std::string text =
                encode_job_frame(link_delegation{delegation_id(1), sample_order()}, steady_now());
            text[n % 2 == 0 ? rng() % 6 : rng() % text.size()] = static_cast<char>(rng());
            hostile.write(text.data(), static_cast<qint64>(text.size()));
            hostile.flush();
            run_until([] { return false; }, milliseconds(2));
        }
        write(peer, link_delegation{delegation_id(7), sample_order()});
        const std::size_t before = events.count<delegation_received>();
        CPPUNIT_ASSERT(run_until([&] { return events.count<delegation_received>() > before; }));
        CPPUNIT_ASSERT(peer.state() == QAbstractSocket::ConnectedState);
    }

  private:
    /// Waits until `sender` has offered a version, and has it sent to `receiver`.
    static void expect_transfer(job_links& sender, const recording_sink& sender_events,
                                const char* sender_host, job_links& receiver,
                                const recording_sink& receiver_events, std::uint64_t version)
    {
        CPPUNIT_ASSERT(run_until([&] {
            const auto* offered = receiver_events.last<configuration_offered>();
            return offered != nullptr && offered->version == version;
        }));
        receiver.request({receiver_events.last<configuration_offered>()->link});
        CPPUNIT_ASSERT(
            run_until([&] { return sender_events.last<configuration_requested>() != nullptr; }));
        sender.send({sender_events.last<configuration_requested>()->link,
                     queue_configuration_fields{.version = version}});
        CPPUNIT_ASSERT(
            run_until([&] { return receiver_events.last<configuration_read>() != nullptr; }));
        const configuration_read& read = *receiver_events.last<configuration_read>();
        CPPUNIT_ASSERT_EQUAL(version, read.configuration->version);
        CPPUNIT_ASSERT(read.sender == host_name(sender_host));
    }

    static host_entry entry_of(const char* host, std::uint16_t port)
    {
        return {.host = host_name(host),
                .zone = zone_name("a"),
                .incarnation = incarnation_id(1),
                .link = {"127.0.0.1", port}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_links_test);

} // namespace

} // namespace papayafall::jobs
