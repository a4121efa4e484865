#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

constexpr link_number first_link(11);
constexpr link_number second_link(12);

/// Which version of the configuration a host applies, and what it learns from other hosts.
class configuration_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_versions_test);
    CPPUNIT_TEST(an_older_version_does_not_replace_a_newer_one);
    CPPUNIT_TEST(a_host_that_misses_a_change_asks_a_linked_host_for_it);
    CPPUNIT_TEST(a_change_that_the_store_delivers_is_not_asked_for);
    CPPUNIT_TEST(the_next_host_is_asked_when_one_does_not_answer);
    CPPUNIT_TEST(each_new_version_is_told_to_the_linked_hosts);
    CPPUNIT_TEST(a_host_sends_its_configuration_on_request);
    CPPUNIT_TEST(the_time_of_the_last_confirmation_is_kept);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->configure(5);
        fixture_->take_actions<publish_configuration_version>();
    }

    void an_older_version_does_not_replace_a_newer_one()
    {
        fixture_->configure(4, "/older/");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, version());
        CPPUNIT_ASSERT(fixture_->take_actions<publish_configuration_version>().empty());
    }

    // Guards against a host that goes back to an older configuration: its job was run by a newer
    // one on another host, and its next job by its own.
    void a_host_that_misses_a_change_asks_a_linked_host_for_it()
    {
        constexpr milliseconds max_delay(200);
        fixture_->deliver(configuration_offered{first_link, 7});
        fixture_->advance(max_delay);
        const auto requests = fixture_->take_actions<request_configuration>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        CPPUNIT_ASSERT(requests[0].link == first_link);
        receive_from_peer(7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, version());
        fixture_->advance(milliseconds(1000));
        CPPUNIT_ASSERT(fixture_->take_actions<request_configuration>().empty());
    }

    void a_change_that_the_store_delivers_is_not_asked_for()
    {
        fixture_->deliver(configuration_offered{first_link, 7});
        fixture_->advance(milliseconds(50));
        fixture_->configure(7);
        fixture_->deliver(configuration_offered{second_link, 7});
        fixture_->advance(milliseconds(1000));
        CPPUNIT_ASSERT(fixture_->take_actions<request_configuration>().empty());
    }

    void the_next_host_is_asked_when_one_does_not_answer()
    {
        fixture_->deliver(configuration_offered{first_link, 8});
        fixture_->deliver(configuration_offered{second_link, 7});
        fixture_->advance(milliseconds(1000));
        const auto requests = fixture_->take_actions<request_configuration>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
        CPPUNIT_ASSERT(requests[0].link == first_link);
        CPPUNIT_ASSERT(requests[1].link == second_link);
    }

    void each_new_version_is_told_to_the_linked_hosts()
    {
        receive_from_peer(7);
        const auto published = fixture_->take_actions<publish_configuration_version>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, published[0].version);
    }

    void a_host_sends_its_configuration_on_request()
    {
        fixture_->deliver(configuration_requested{second_link});
        const auto sent = fixture_->take_actions<send_configuration>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT(sent[0].link == second_link);
        CPPUNIT_ASSERT(sent[0].configuration == *fixture_->board().configuration);
    }

    void the_time_of_the_last_confirmation_is_kept()
    {
        CPPUNIT_ASSERT(*fixture_->board().configuration_confirmed_at == time_point());
        fixture_->deliver(configuration_confirmed{});
        CPPUNIT_ASSERT(*fixture_->board().configuration_confirmed_at == fixture_->now());
    }

  private:
    std::uint64_t version() const { return (*fixture_->board().configuration)->version; }

    void receive_from_peer(std::uint64_t number)
    {
        fixture_->deliver(configuration_read{queue_configuration_fields{.version = number},
                                             host_name("entry-2")});
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_versions_test);

} // namespace

} // namespace papayafall::jobs
