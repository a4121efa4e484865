#include "papayafall/platform/memory/memory_key_value_store.hpp"
#include "papayafall/platform/store/await.hpp"
#include "support/manual_clock.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayafall;
using namespace std::chrono_literals;

namespace {

class memory_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_store_test);
    CPPUNIT_TEST(put_if_absent_is_applied_once);
    CPPUNIT_TEST(put_if_unchanged_needs_the_latest_index);
    CPPUNIT_TEST(watch_answers_after_the_write);
    CPPUNIT_TEST(lock_is_released_when_the_session_expires);
    CPPUNIT_TEST(unknown_history_counts_one_earlier_lock);
    CPPUNIT_TEST_SUITE_END();

  public:
    memory_store_test() { ensure_application(); }

    void put_if_absent_is_applied_once()
    {
        CPPUNIT_ASSERT(put("k", "1", put_if_absent{}) == put_outcome::applied);
        CPPUNIT_ASSERT(put("k", "2", put_if_absent{}) == put_outcome::refused);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), get("k").found->data);
    }

    void put_if_unchanged_needs_the_latest_index()
    {
        put("k", "1", put_always{});
        const modify_index first = get("k").index;
        CPPUNIT_ASSERT(put("k", "2", put_if_unchanged{first}) == put_outcome::applied);
        CPPUNIT_ASSERT(put("k", "3", put_if_unchanged{first}) == put_outcome::refused);
    }

    void watch_answers_after_the_write()
    {
        const modify_index before = get("k").index;
        const auto result = await<read_result>([&](const platform_reply<read_result>& reply) {
            store_.watch("k", before, clock_.read().steady + 1h, reply);
            store_.put({"k", "1", put_always{}}, [](const auto&) {});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("1"), result.found->data);
    }

    void lock_is_released_when_the_session_expires()
    {
        const session_id first = open();
        const session_id second = open();
        CPPUNIT_ASSERT(acquire(first) == lock_outcome::granted);
        CPPUNIT_ASSERT(acquire(second) == lock_outcome::refused);

        clock_.advance(6s);
        CPPUNIT_ASSERT(renew(second) == session_status::alive);
        clock_.advance(6s);
        CPPUNIT_ASSERT(renew(first) == session_status::ended);
        CPPUNIT_ASSERT(acquire(second) == lock_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, get("seat").found->lock_count);
    }

    void unknown_history_counts_one_earlier_lock()
    {
        memory_key_value_store store_with_unknown_history(clock_);
        const auto session = await<session_id>([&](const platform_reply<session_id>& reply) {
            store_with_unknown_history.open_session("e1", 10s, reply);
        });
        await<lock_outcome>([&](const platform_reply<lock_outcome>& reply) {
            store_with_unknown_history.acquire({"seat", "", session}, reply);
        });
        const auto held = await<read_result>([&](const platform_reply<read_result>& reply) {
            store_with_unknown_history.get("seat", reply);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, held.found->lock_count);
    }

  private:
    put_outcome put(const std::string& key, const std::string& data, put_condition condition)
    {
        return await<put_outcome>([&](const platform_reply<put_outcome>& reply) {
            store_.put({key, data, condition}, reply);
        });
    }

    read_result get(const std::string& key)
    {
        return await<read_result>(
            [&](const platform_reply<read_result>& reply) { store_.get(key, reply); });
    }

    session_id open()
    {
        return await<session_id>(
            [&](const platform_reply<session_id>& reply) { store_.open_session("e", 10s, reply); });
    }

    session_status renew(const session_id& session)
    {
        return await<session_status>([&](const platform_reply<session_status>& reply) {
            store_.renew_session(session, reply);
        });
    }

    lock_outcome acquire(const session_id& session)
    {
        return await<lock_outcome>([&](const platform_reply<lock_outcome>& reply) {
            store_.acquire({"seat", "", session}, reply);
        });
    }

    manual_clock clock_;
    memory_key_value_store store_{clock_, lock_history::complete};
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_store_test);

} // namespace
