#include "support/job_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::job_fixture;

/// Which hosts of a large fleet follow the entries of all workers.
class followed_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(followed_workers_test);
    CPPUNIT_TEST(a_host_without_cells_stops_following);
    CPPUNIT_TEST(a_holder_keeps_following);
    CPPUNIT_TEST(a_cell_is_claimed_once_the_workers_are_current);
    CPPUNIT_TEST(a_host_whose_claim_failed_stops_following_again);
    CPPUNIT_TEST(nothing_changes_while_the_store_is_unreachable);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { fixture_ = std::make_unique<job_fixture>(); }

    void a_host_without_cells_stops_following()
    {
        list_other_holder();
        fixture_->advance(seconds(6));
        const auto changes = fixture_->take_actions<follow_workers>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(!changes[0].follow);
    }

    void a_holder_keeps_following()
    {
        fixture_->acquire_cell();
        fixture_->advance(seconds(60));
        CPPUNIT_ASSERT(fixture_->take_actions<follow_workers>().empty());
    }

    void a_cell_is_claimed_once_the_workers_are_current()
    {
        stop_following();
        fixture_->deliver(host_unlisted{other_});
        fixture_->advance(seconds(1));
        CPPUNIT_ASSERT(fixture_->take_actions<claim_cell>().empty());
        const auto changes = fixture_->take_actions<follow_workers>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes[0].follow);
        // What the host knew of the workers is out of date: this one is being emptied.
        worker_fields draining = job_fixture::make_worker("w-1");
        draining.draining = true;
        fixture_->deliver(worker_listed{draining});
        fixture_->deliver(workers_followed{});
        fixture_->advance(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<claim_cell>().size());
    }

    void a_host_whose_claim_failed_stops_following_again()
    {
        stop_following();
        fixture_->deliver(host_unlisted{other_});
        fixture_->advance(seconds(1));
        fixture_->deliver(workers_followed{});
        fixture_->advance(milliseconds(10));
        fixture_->deliver(claim_answered{job_fixture::own_cell(), claim_result::conflict, {}});
        list_claim(4);
        fixture_->take_actions<follow_workers>();
        fixture_->advance(seconds(6));
        const auto changes = fixture_->take_actions<follow_workers>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(!changes[0].follow);
    }

    void nothing_changes_while_the_store_is_unreachable()
    {
        list_other_holder();
        fixture_->deliver(store_lost{});
        fixture_->advance(seconds(60));
        CPPUNIT_ASSERT(fixture_->take_actions<follow_workers>().empty());
    }

  private:
    void list_claim(std::uint64_t revision)
    {
        fixture_->deliver(host_listed{
            {.host = other_, .zone = zone_name("zone-a"), .incarnation = incarnation_id(5)}});
        fixture_->deliver(claim_listed{job_fixture::own_cell(),
                                       {.holder = other_,
                                        .incarnation = incarnation_id(5),
                                        .revision = store_revision(revision)}});
    }

    void list_other_holder()
    {
        fixture_->configure(1);
        fixture_->deliver(store_reached{});
        list_claim(3);
    }

    void stop_following()
    {
        list_other_holder();
        fixture_->advance(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_->take_actions<follow_workers>().size());
    }

    const host_name other_{"entry-2"};
    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(followed_workers_test);

} // namespace

} // namespace papayafall::jobs
