#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/store/await.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "support/event_recorder.hpp"
#include "support/stand_in_platform.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

/// Platform agent of one host, with a recorder of its events.
struct host {
    host(const std::string& name, const platform_connector& connector, const clock_source& clock)
        : agent({.host = host_name(name),
                 .zone = zone_name("a"),
                 .incarnation = incarnation_id(1),
                 .session_ttl = 3s,
                 .host_list_period = 50ms,
                 .max_retry_delay = 200ms},
                connector, events, clock)
    {
        agent.start();
    }

    event_recorder events;
    platform_agent agent;
};

class platform_agent_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_agent_test);
    CPPUNIT_TEST(first_holder_has_no_predecessor);
    CPPUNIT_TEST(later_holder_is_told_of_a_predecessor);
    CPPUNIT_TEST(held_seat_is_refused);
    CPPUNIT_TEST(lost_response_to_claim_is_resolved);
    CPPUNIT_TEST(abandoned_claim_releases_the_lock);
    CPPUNIT_TEST(ended_session_is_reported_and_reopened);
    CPPUNIT_TEST(session_opens_after_outage);
    CPPUNIT_TEST(confirmed_changes_arrive);
    CPPUNIT_TEST(change_during_an_outage_arrives_after_it);
    CPPUNIT_TEST(host_list_is_posted_when_it_changes);
    CPPUNIT_TEST(memory_platform_always_reports_a_predecessor);
    CPPUNIT_TEST_SUITE_END();

  public:
    platform_agent_test() { ensure_application(); }

    void setUp() override
    {
        platform_ = std::make_unique<stand_in_platform>();
        const http_platform_options options{platform_->address(), zone_name("a"), 500ms};
        connector_ = std::make_unique<http_platform_connector>(options);
        store_ = std::make_unique<http_key_value_store>(options, clock_);
    }

    void tearDown() override
    {
        store_.reset();
        platform_.reset();
    }

    void first_holder_has_no_predecessor()
    {
        host first("e1", *connector_, clock_);
        claim(first);
        const auto granted = first.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->seat == seat_ && !granted->inherited_at);
    }

    void later_holder_is_told_of_a_predecessor()
    {
        {
            host first("e1", *connector_, clock_);
            claim(first);
            CPPUNIT_ASSERT(first.events.next<seat_granted>().has_value());
        }
        const wall_time before = clock_.read().wall;
        host second("e2", *connector_, clock_);
        claim(second);
        const auto granted = second.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->inherited_at && *granted->inherited_at >= before);
    }

    void held_seat_is_refused()
    {
        host first("e1", *connector_, clock_);
        claim(first);
        CPPUNIT_ASSERT(first.events.next<seat_granted>().has_value());
        host second("e2", *connector_, clock_);
        claim(second);
        CPPUNIT_ASSERT(second.events.next<seat_refused>().has_value());

        first.agent.post(release_seat{seat_});
        wait_for_count("release");
        claim(second, false);
        const auto granted = second.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->inherited_at);
    }

    void lost_response_to_claim_is_resolved()
    {
        host first("e1", *connector_, clock_);
        CPPUNIT_ASSERT(first.events.next<session_confirmed>().has_value());
        platform_->set_faults({.lose_answers = 1});
        first.agent.post(claim_seat{seat_});
        const auto granted = first.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && !granted->inherited_at);
    }

    void abandoned_claim_releases_the_lock()
    {
        host first("e1", *connector_, clock_);
        CPPUNIT_ASSERT(first.events.next<session_confirmed>().has_value());
        platform_->set_faults({.lose_answers = 3});
        first.agent.post(claim_seat{seat_});
        wait_for_count("release");

        host second("e2", *connector_, clock_);
        claim(second);
        const auto granted = second.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->inherited_at);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, platform_->counts()["acquire"]);
    }

    void ended_session_is_reported_and_reopened()
    {
        host first("e1", *connector_, clock_);
        claim(first);
        CPPUNIT_ASSERT(first.events.next<seat_granted>().has_value());
        platform_->set_faults({.end_sessions = true});
        CPPUNIT_ASSERT(first.events.next<session_lost>().has_value());
        CPPUNIT_ASSERT(first.events.next<session_confirmed>().has_value());
        claim(first, false);
        const auto granted = first.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->inherited_at);
    }

    void session_opens_after_outage()
    {
        platform_->set_faults({.down = true});
        host first("e1", *connector_, clock_);
        CPPUNIT_ASSERT(first.events.next<session_lost>().has_value());
        const time_point before = clock_.read().steady;
        platform_->set_faults({});
        const auto confirmed = first.events.next<session_confirmed>();
        CPPUNIT_ASSERT(confirmed && confirmed->lease_until > before);
        CPPUNIT_ASSERT(confirmed->lease_until < clock_.read().steady + 3s);
    }

    void confirmed_changes_arrive()
    {
        host first("e1", *connector_, clock_);
        first.agent.post(watch_configuration{true});
        put_change(1);
        CPPUNIT_ASSERT(next_revision(first) == revision_id(1));
        put_change(2);
        CPPUNIT_ASSERT(next_revision(first) == revision_id(2));
    }

    void change_during_an_outage_arrives_after_it()
    {
        host first("e1", *connector_, clock_);
        first.agent.post(watch_configuration{true});
        put_change(1);
        CPPUNIT_ASSERT(next_revision(first) == revision_id(1));
        platform_->set_faults({.cut_zones = {"a"}});
        store_ = std::make_unique<http_key_value_store>(
            http_platform_options{platform_->address(), zone_name("b"), 500ms}, clock_);
        put_change(2);
        put_change(3);
        platform_->set_faults({});
        revision_id seen;
        for (int n = 0; n < 2 && seen != revision_id(3); ++n) {
            seen = next_revision(first);
        }
        CPPUNIT_ASSERT(seen == revision_id(3));
    }

    void host_list_is_posted_when_it_changes()
    {
        host first("e1", *connector_, clock_);
        const auto empty = first.events.next<host_list_received>();
        CPPUNIT_ASSERT(empty && empty->hosts->peers.empty());
        const peer_entry peer{host_name("e1"), zone_name("a"), {"127.0.0.1", 7001}, false};
        put(keys::listed_entry_hosts() + "e1", encode_peer_entry(peer).dump());
        const auto listed = first.events.next<host_list_received>();
        CPPUNIT_ASSERT(listed && listed->hosts->peers == std::vector{peer});
    }

    void memory_platform_always_reports_a_predecessor()
    {
        const memory_platform_connector embedded(
            {}, parse_configuration(R"({"services": {"quote": {}}})"));
        host first("e1", embedded, clock_);
        first.agent.post(watch_configuration{true});
        CPPUNIT_ASSERT(next_revision(first) == revision_id(1));
        first.agent.post(claim_seat{seat_});
        const auto granted = first.events.next<seat_granted>();
        CPPUNIT_ASSERT(granted && granted->inherited_at);
    }

  private:
    void claim(host& claimant, bool wait_for_session = true)
    {
        if (wait_for_session) {
            CPPUNIT_ASSERT(claimant.events.next<session_confirmed>().has_value());
        }
        claimant.agent.post(claim_seat{seat_});
    }

    static revision_id next_revision(host& watcher)
    {
        const auto received = watcher.events.next<configuration_received>();
        return received ? received->content->revision : revision_id();
    }

    void put(const std::string& key, const std::string& data)
    {
        const auto outcome = await<put_outcome>([&](const platform_reply<put_outcome>& reply) {
            store_->put({key, data, put_if_absent{}}, reply);
        });
        CPPUNIT_ASSERT(outcome == put_outcome::applied);
    }

    void put_change(std::uint64_t revision)
    {
        const change_record record(change_record_fields{
            .revision = revision_id(revision),
            .base = revision_id(revision - 1),
            .plan = plan_id("plan"),
            .author = operator_name("ana"),
            .intent = intent_document::parse(R"({"teams": {"counter": {"slot_quota": )" +
                                             std::to_string(revision) + "}}}"),
        });
        put(keys::change(revision_id(revision)), encode_change_record(record));
    }

    void wait_for_count(const std::string& kind)
    {
        for (int n = 0; n < 2000 && platform_->counts()[kind] == 0; ++n) {
            QThread::msleep(5);
        }
    }

    const seat_id seat_{zone_name("a"), 0};
    system_clock_source clock_;
    std::unique_ptr<stand_in_platform> platform_;
    std::unique_ptr<platform_connector> connector_;
    std::unique_ptr<http_key_value_store> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_agent_test);

} // namespace
