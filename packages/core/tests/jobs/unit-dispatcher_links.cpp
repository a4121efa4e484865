#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::job_fixture;

constexpr incarnation_id peer_incarnation(5);

/// Links of a host in a fleet of many hosts and availability zones.
class dispatcher_links_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_links_test);
    CPPUNIT_TEST(hosts_without_cells_get_no_link);
    CPPUNIT_TEST(holders_of_the_own_zone_are_linked);
    CPPUNIT_TEST(links_to_other_zones_do_not_grow_with_the_fleet);
    CPPUNIT_TEST(a_restarted_dispatcher_is_linked_again);
    CPPUNIT_TEST(an_unneeded_link_is_closed_after_a_while);
    CPPUNIT_TEST(a_link_that_a_job_depends_on_stays_open);
    CPPUNIT_TEST(a_handover_waits_for_the_link_to_the_next_holder);
    CPPUNIT_TEST(a_claim_of_an_unknown_host_ends_the_holding);
    CPPUNIT_TEST(a_host_without_a_link_to_the_holder_claims_a_foreign_cell_later);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->configure(1);
        fixture_->deliver(store_reached{});
    }

    void hosts_without_cells_get_no_link()
    {
        for (int n = 0; n < 40; ++n) {
            list_host("idle-" + std::to_string(n), n % 2 == 0 ? "zone-a" : "zone-b");
        }
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT(linked_hosts().empty());
    }

    void holders_of_the_own_zone_are_linked()
    {
        for (int n = 0; n < 6; ++n) {
            list_holder("holder-" + std::to_string(n), "zone-a", n);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, linked_hosts().size());
    }

    void links_to_other_zones_do_not_grow_with_the_fleet()
    {
        for (const int it : {8, 80}) {
            setUp();
            for (int n = 0; n < it; ++n) {
                list_holder("holder-" + std::to_string(n), "far-" + std::to_string(n), 0);
            }
            fixture_->advance(seconds(11));
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture_->board().peers.size());
        }
    }

    void a_restarted_dispatcher_is_linked_again()
    {
        list_holder("holder", "zone-a", 0);
        linked_hosts();
        list_host("holder", "zone-a", incarnation_id(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, linked_hosts().size());
    }

    void an_unneeded_link_is_closed_after_a_while()
    {
        list_holder("holder", "zone-a", 0);
        connect("holder");
        list_holder("successor", "zone-a", 0, 9);
        fixture_->advance(seconds(9));
        CPPUNIT_ASSERT(fixture_->take_actions<disconnect_peer>().empty());
        fixture_->advance(seconds(2));
        const auto closed = fixture_->take_actions<disconnect_peer>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed.size());
        CPPUNIT_ASSERT(closed[0].host == host_name("holder"));
    }

    void a_link_that_a_job_depends_on_stays_open()
    {
        list_holder("holder", "zone-a", 0);
        connect("holder");
        fixture_->deliver(load_reported{
            host_name("holder"),
            {.accepting = true, .free_cpu_millis = 640'000, .total_cpu_millis = 640'000}});
        fixture_->submit_job(1, job_fixture::make_job("00000000000000a1"), seconds(60));
        const auto delegated = fixture_->take_actions<delegate_job>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delegated.size());
        list_holder("successor", "zone-a", 0, 9);
        fixture_->advance(seconds(20));
        CPPUNIT_ASSERT(fixture_->take_actions<disconnect_peer>().empty());
        fixture_->deliver(delegation_answered{delegated[0].delegation, job_outcome::succeeded});
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<disconnect_peer>().size());
    }

    void a_handover_waits_for_the_link_to_the_next_holder()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        list_host("successor", "zone-a");
        CPPUNIT_ASSERT(linked_hosts().empty());
        list_holder("successor", "zone-a", 0, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, linked_hosts().size());
        fixture_->advance(milliseconds(50));
        CPPUNIT_ASSERT(fixture_->take_actions<release_worker>().empty());
        CPPUNIT_ASSERT(fixture_->board().sessions.contains(worker_id("w-1")));
        connect("successor");
        fixture_->advance(milliseconds(10));
        const auto released = fixture_->take_actions<release_worker>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released.size());
        CPPUNIT_ASSERT(released[0].to == host_name("successor"));
    }

    void a_claim_of_an_unknown_host_ends_the_holding()
    {
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        list_claim("stranger", "zone-a", 0, 20);
        CPPUNIT_ASSERT(fixture_->board().held_cells.empty());
    }

    void a_host_without_a_link_to_the_holder_claims_a_foreign_cell_later()
    {
        for (const bool linked : {true, false}) {
            setUp();
            fixture_->acquire_cell();
            worker_fields far_worker = job_fixture::make_worker("w-9");
            far_worker.zone = zone_name("zone-b");
            fixture_->deliver(worker_listed{far_worker});
            if (linked) {
                list_holder("holder", "zone-b", 0);
                connect("holder");
            } else {
                list_claim("holder", "zone-b", 0, 3);
            }
            fixture_->deliver(peer_lost{host_name("holder")});
            fixture_->deliver(host_unlisted{host_name("holder")});
            fixture_->deliver(claim_unlisted{cell_id("zone-b/0")});
            fixture_->advance(seconds(8));
            CPPUNIT_ASSERT_EQUAL(linked, !fixture_->take_actions<claim_cell>().empty());
            fixture_->advance(seconds(4));
            CPPUNIT_ASSERT(linked || !fixture_->take_actions<claim_cell>().empty());
        }
    }

  private:
    void list_host(const std::string& host, const std::string& zone,
                   incarnation_id incarnation = peer_incarnation)
    {
        fixture_->deliver(host_listed{
            {.host = host_name(host), .zone = zone_name(zone), .incarnation = incarnation}});
    }

    void list_claim(const std::string& host, const std::string& zone, int cell,
                    std::uint64_t revision)
    {
        fixture_->deliver(
            claim_listed{make_cell_id(zone_name(zone), static_cast<std::uint32_t>(cell)),
                         {.holder = host_name(host),
                          .incarnation = peer_incarnation,
                          .revision = store_revision(revision)}});
    }

    void list_holder(const std::string& host, const std::string& zone, int cell,
                     std::uint64_t revision = 3)
    {
        list_host(host, zone);
        list_claim(host, zone, cell, revision);
    }

    void connect(const std::string& host)
    {
        fixture_->deliver(peer_connected{host_name(host), peer_incarnation});
    }

    /// Hosts to which links were opened since the last call.
    std::set<host_name> linked_hosts()
    {
        std::set<host_name> found;
        for (const connect_peer& it : fixture_->take_actions<connect_peer>()) {
            found.insert(it.entry.host);
        }
        return found;
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_links_test);

} // namespace

} // namespace papayafall::jobs
