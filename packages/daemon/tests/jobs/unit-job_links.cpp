#include "support/event_loop.hpp"
#include "support/test_application.hpp"

#include "papayafall/daemon/jobs/job_links.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/wire/jobs/job_message.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTcpSocket>

#include <chrono>
#include <thread>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

class event_list : public message_sink<job_event> {
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

  private:
    std::vector<job_event> events_;
};

job_link_options options_of(const char* host, duration silence_limit)
{
    job_link_options options{.host = host_name(host), .incarnation = incarnation_id(1)};
    options.listen = {"127.0.0.1", 0};
    options.silence_limit = silence_limit;
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
    CPPUNIT_TEST(a_job_goes_over_a_link_and_its_outcome_back);
    CPPUNIT_TEST(what_waited_in_a_link_that_fell_silent_is_not_read);
    CPPUNIT_TEST(a_forgotten_host_is_not_called_again);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void a_job_goes_over_a_link_and_its_outcome_back()
    {
        event_list near_events;
        event_list far_events;
        job_links near(options_of("e-1", std::chrono::seconds(60)), near_events);
        job_links far(options_of("e-2", std::chrono::seconds(60)), far_events);
        near.connect(entry_of("e-2", far.port()));
        CPPUNIT_ASSERT(run_until([&] { return near_events.count<peer_connected>() == 1; }));
        near.delegate({host_name("e-2"), delegation_id(4), sample_order()});
        CPPUNIT_ASSERT(run_until([&] { return far_events.count<delegation_received>() == 1; }));
        far.answer({{link_number(1), delegation_id(4)}, job_outcome::succeeded});
        CPPUNIT_ASSERT(run_until([&] { return near_events.count<delegation_answered>() == 1; }));
    }

    void what_waited_in_a_link_that_fell_silent_is_not_read()
    {
        const milliseconds limit(200);
        event_list events;
        job_links links(options_of("e-1", limit), events);
        QTcpSocket other;
        other.connectToHost("127.0.0.1", links.port());
        write(other, link_hello{host_name("e-2"), incarnation_id(2)});
        CPPUNIT_ASSERT(run_until([&] { return other.bytesAvailable() > 0; }));
        write(other, link_delegation{delegation_id(1), sample_order()});
        CPPUNIT_ASSERT(other.waitForBytesWritten());
        // As when the process stands still while the other end gives the link up.
        std::this_thread::sleep_for(2 * limit);
        CPPUNIT_ASSERT(run_until([&] { return events.count<delegator_lost>() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, events.count<delegation_received>());
    }

    void a_forgotten_host_is_not_called_again()
    {
        event_list events;
        job_links links(options_of("e-1", std::chrono::seconds(60)), events);
        QTcpServer other;
        CPPUNIT_ASSERT(other.listen(QHostAddress::LocalHost));
        links.connect(entry_of("e-2", other.serverPort()));
        CPPUNIT_ASSERT(run_until([&] { return other.hasPendingConnections(); }));
        links.disconnect(host_name("e-2"));
        other.nextPendingConnection();
        links.on_tick(steady_now() + std::chrono::seconds(5));
        CPPUNIT_ASSERT(
            !run_until([&] { return other.hasPendingConnections(); }, milliseconds(100)));
    }

  private:
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
