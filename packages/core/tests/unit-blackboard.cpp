#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/errors/exception.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace papayafall;

namespace {

class table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_test);
    CPPUNIT_TEST(put_replaces_the_value_and_its_deadline);
    CPPUNIT_TEST(second_claim_throws_ownership_error);
    CPPUNIT_TEST(expired_returns_the_key_with_the_earliest_deadline);
    CPPUNIT_TEST(changes_name_the_keys_that_were_written);
    CPPUNIT_TEST_SUITE_END();

  public:
    void put_replaces_the_value_and_its_deadline()
    {
        table<host_name, int> hosts;
        auto writer = hosts.claim();
        writer.put(host_name("a"), 1, time_point(duration(5)));
        writer.put(host_name("a"), 2, time_point(duration(9)));

        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.size());
        CPPUNIT_ASSERT_EQUAL(2, *hosts.find(host_name("a")));
        CPPUNIT_ASSERT(hosts.next_deadline() == time_point(duration(9)));
        hosts.check_invariants();
    }

    void second_claim_throws_ownership_error()
    {
        table<host_name, int> hosts;
        auto writer = hosts.claim();
        writer.put(host_name("a"), 1);
        CPPUNIT_ASSERT_THROW(hosts.claim(), ownership_error);
    }

    void expired_returns_the_key_with_the_earliest_deadline()
    {
        table<host_name, int> hosts;
        auto writer = hosts.claim();
        writer.put(host_name("a"), 1, time_point(duration(9)));
        writer.put(host_name("b"), 2, time_point(duration(5)));

        CPPUNIT_ASSERT(!hosts.expired(time_point(duration(4))));
        CPPUNIT_ASSERT(hosts.expired(time_point(duration(5))) == host_name("b"));
        CPPUNIT_ASSERT(writer.erase(host_name("b")));
        CPPUNIT_ASSERT(!hosts.expired(time_point(duration(8))));
    }

    void changes_name_the_keys_that_were_written()
    {
        table<host_name, int> hosts;
        auto writer = hosts.claim();
        writer.put(host_name("before"), 1);
        auto changes = hosts.follow();
        CPPUNIT_ASSERT_THROW(hosts.follow(), ownership_error);
        writer.put(host_name("a"), 1);
        writer.erase(host_name("before"));
        writer.erase(host_name("unknown"));

        const std::vector<host_name> expected{host_name("a"), host_name("before")};
        CPPUNIT_ASSERT(changes.take() == expected);
        CPPUNIT_ASSERT(changes.take().empty());
    }
};

class value_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(value_test);
    CPPUNIT_TEST(with_leaves_the_original_unchanged);
    CPPUNIT_TEST(values_compare_by_content);
    CPPUNIT_TEST_SUITE_END();

  public:
    void with_leaves_the_original_unchanged()
    {
        const request before(request_fields{.service = service_name("quote")});
        const request after = before.with([](request_fields& it) { it.fingerprint = 7; });

        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, before->fingerprint);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, after->fingerprint);
        CPPUNIT_ASSERT(before != after);
    }

    void values_compare_by_content()
    {
        CPPUNIT_ASSERT(bytes("x") == bytes("x"));
        CPPUNIT_ASSERT(bytes("x") < bytes("y"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_test);
CPPUNIT_TEST_SUITE_REGISTRATION(value_test);

} // namespace
