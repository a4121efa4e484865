#include "papayafall/platform/hosts/stored_host_list.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/store/await.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "support/stand_in_platform.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QTimer>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

class http_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_store_test);
    CPPUNIT_TEST(binary_values_round_trip);
    CPPUNIT_TEST(put_if_absent_is_applied_once);
    CPPUNIT_TEST(lost_response_of_conditional_write_is_read_back);
    CPPUNIT_TEST(write_with_lost_response_is_not_resent);
    CPPUNIT_TEST(refused_connection_is_not_applied);
    CPPUNIT_TEST(timed_out_write_may_have_been_applied);
    CPPUNIT_TEST(watch_is_one_blocking_query);
    CPPUNIT_TEST(cancelled_watch_never_answers);
    CPPUNIT_TEST(calls_above_the_connection_limit_fail_at_once);
    CPPUNIT_TEST(expired_session_releases_its_lock);
    CPPUNIT_TEST(partition_affects_only_its_zone);
    CPPUNIT_TEST(host_list_is_read_from_its_prefixes);
    CPPUNIT_TEST(unchanged_host_list_is_not_listed_again);
    CPPUNIT_TEST(malformed_host_is_a_protocol_failure);
    CPPUNIT_TEST_SUITE_END();

  public:
    http_store_test() { ensure_application(); }

    void setUp() override
    {
        platform_ = std::make_unique<stand_in_platform>();
        store_ = connect("a", 2s);
    }

    void tearDown() override
    {
        store_.reset();
        platform_.reset();
    }

    void binary_values_round_trip()
    {
        const std::string data("\0\xff text", 7);
        put("a key/b", data, put_always{});
        CPPUNIT_ASSERT_EQUAL(data, get("a key/b").found->data);
        CPPUNIT_ASSERT(!get("a key").found);
    }

    void put_if_absent_is_applied_once()
    {
        CPPUNIT_ASSERT(put("k", "1", put_if_absent{}) == put_outcome::applied);
        CPPUNIT_ASSERT(put("k", "2", put_if_absent{}) == put_outcome::refused);
        const modify_index index = get("k").found->index;
        CPPUNIT_ASSERT(put("k", "3", put_if_unchanged{index}) == put_outcome::applied);
        CPPUNIT_ASSERT(put("k", "4", put_if_unchanged{index}) == put_outcome::refused);
    }

    void lost_response_of_conditional_write_is_read_back()
    {
        platform_->set_faults({.lose_answers = 1});
        CPPUNIT_ASSERT(put("k", "1", put_if_absent{}) == put_outcome::applied);
        platform_->set_faults({.lose_answers = 1});
        CPPUNIT_ASSERT(put("k", "2", put_if_absent{}) == put_outcome::refused);
    }

    void write_with_lost_response_is_not_resent()
    {
        get("k"); // the connection is in use already
        platform_->set_faults({.lose_answers = 1});
        CPPUNIT_ASSERT(failed_put_effect() == write_effect::may_have_been_applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, platform_->counts()["put"]);
    }

    void refused_connection_is_not_applied()
    {
        const endpoint gone = platform_->address();
        platform_.reset();
        CPPUNIT_ASSERT(failed_put_effect() == write_effect::not_applied);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), gone.address);
    }

    void timed_out_write_may_have_been_applied()
    {
        store_ = connect("a", 100ms);
        platform_->set_faults({.delay_ms = 2000});
        CPPUNIT_ASSERT(failed_put_effect() == write_effect::may_have_been_applied);
    }

    void watch_is_one_blocking_query()
    {
        const modify_index before = get("k").index;
        const auto other = connect("a", 2s);
        QTimer::singleShot(50, [&] { other->put({"k", "1", put_always{}}, [](const auto&) {}); });
        const auto result = await<read_result>([&](const platform_reply<read_result>& reply) {
            store_->watch("k", before, clock_.read().steady + 60s, reply);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("1"), result.found->data);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, platform_->counts()["watch"]);
    }

    void cancelled_watch_never_answers()
    {
        bool answered = false;
        const store_call call = store_->watch("k", get("k").index, clock_.read().steady + 60s,
                                              [&](const auto&) { answered = true; });
        store_->cancel(call);
        put("k", "1", put_always{});
        get("k");
        CPPUNIT_ASSERT(!answered);
    }

    void calls_above_the_connection_limit_fail_at_once()
    {
        platform_->set_faults({.delay_ms = 2000});
        std::size_t answered = 0;
        for (std::size_t n = 0; n < 6; ++n) {
            store_->get("k", [&](const auto&) { ++answered; });
        }
        CPPUNIT_ASSERT_THROW(get("k"), platform_call_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, answered);
    }

    void expired_session_releases_its_lock()
    {
        const session_id first = open();
        const session_id second = open();
        CPPUNIT_ASSERT(acquire(first) == lock_outcome::granted);
        CPPUNIT_ASSERT(acquire(second) == lock_outcome::refused);
        CPPUNIT_ASSERT(renew(first) == session_status::alive);

        platform_->set_faults({.end_sessions = true});
        CPPUNIT_ASSERT(renew(first) == session_status::ended);
        CPPUNIT_ASSERT_THROW(acquire(second), platform_call_error);
        const session_id third = open();
        CPPUNIT_ASSERT(acquire(third) == lock_outcome::granted);
        CPPUNIT_ASSERT(get("seat").found->holder == third);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, get("seat").found->lock_count);
    }

    void partition_affects_only_its_zone()
    {
        platform_->set_faults({.cut_zones = {"a"}});
        CPPUNIT_ASSERT_THROW(get("k"), platform_call_error);
        store_ = connect("b", 2s);
        CPPUNIT_ASSERT(!get("k").found);
    }

    void host_list_is_read_from_its_prefixes()
    {
        const peer_entry peer{host_name("e1"), zone_name("b"), {"127.0.0.1", 7001}, false};
        const target_entry listed_target{
            target_name("t1"), zone_name("a"), {"127.0.0.1", 9001}, 8, true};
        put(keys::listed_entry_hosts() + "e1", encode_peer_entry(peer).dump(), put_always{});
        put(keys::listed_targets(zone_name("a")) + "t1", encode_target_entry(listed_target).dump(),
            put_always{});
        put(keys::listed_targets(zone_name("b")) + "t2", "of another zone", put_always{});

        const host_list_snapshot hosts = read_hosts();
        CPPUNIT_ASSERT(hosts->peers == std::vector{peer});
        CPPUNIT_ASSERT(hosts->targets == std::vector{listed_target});
    }

    void unchanged_host_list_is_not_listed_again()
    {
        const target_entry target{target_name("t1"), zone_name("a"), {"127.0.0.1", 9001}, 8, false};
        const std::string key = keys::listed_targets(zone_name("a")) + "t1";
        stored_host_list list(*store_, zone_name("a"));
        CPPUNIT_ASSERT(read(list)->targets.empty());
        put(key, encode_target_entry(target).dump(), put_always{});
        CPPUNIT_ASSERT(read(list)->targets == std::vector{target});

        const std::uint64_t listings = platform_->counts()["list"];
        CPPUNIT_ASSERT(read(list)->targets == std::vector{target});
        CPPUNIT_ASSERT_EQUAL(listings, platform_->counts()["list"]);

        await<put_outcome>(
            [&](const platform_reply<put_outcome>& reply) { store_->erase(key, reply); });
        CPPUNIT_ASSERT(read(list)->targets.empty());
        CPPUNIT_ASSERT_EQUAL(listings + 1, platform_->counts()["list"]);
    }

    void malformed_host_is_a_protocol_failure()
    {
        put(keys::listed_entry_hosts() + "e1", "{}", put_always{});
        CPPUNIT_ASSERT_THROW(read_hosts(), platform_call_error);
    }

  private:
    std::unique_ptr<http_key_value_store> connect(const std::string& zone,
                                                  std::chrono::milliseconds timeout)
    {
        return std::make_unique<http_key_value_store>(
            http_platform_options{platform_->address(), zone_name(zone), timeout}, clock_);
    }

    put_outcome put(const std::string& key, const std::string& data, put_condition condition)
    {
        return await<put_outcome>([&](const platform_reply<put_outcome>& reply) {
            store_->put({key, data, condition}, reply);
        });
    }

    write_effect failed_put_effect()
    {
        try {
            put("k", "1", put_always{});
        } catch (const platform_call_error& it) {
            return it.effect();
        }
        CPPUNIT_FAIL("the write did not fail");
        return {};
    }

    read_result get(const std::string& key)
    {
        return await<read_result>(
            [&](const platform_reply<read_result>& reply) { store_->get(key, reply); });
    }

    host_list_snapshot read_hosts()
    {
        stored_host_list list(*store_, zone_name("a"));
        return read(list);
    }

    static host_list_snapshot read(stored_host_list& list)
    {
        return await<host_list_snapshot>(
            [&](const platform_reply<host_list_snapshot>& reply) { list.read(reply); });
    }

    session_id open()
    {
        return await<session_id>([&](const platform_reply<session_id>& reply) {
            store_->open_session("e", 60s, reply);
        });
    }

    session_status renew(const session_id& session)
    {
        return await<session_status>([&](const platform_reply<session_status>& reply) {
            store_->renew_session(session, reply);
        });
    }

    lock_outcome acquire(const session_id& session)
    {
        return await<lock_outcome>([&](const platform_reply<lock_outcome>& reply) {
            store_->acquire({"seat", "", session}, reply);
        });
    }

    system_clock_source clock_;
    std::unique_ptr<stand_in_platform> platform_;
    std::unique_ptr<http_key_value_store> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_store_test);

} // namespace
