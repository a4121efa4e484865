#include "support/job_fixture.hpp"

#include "papayafall/core/jobs/controllers/speed_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace papayafall::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using test_support::job_fixture;

constexpr duration declared = milliseconds(100);
constexpr double tolerance = 0.15;

/// Measured run times on a worker of a known slowness: the declared times are off by up to 40 %,
/// and 3 % of the runs take seven times as long.
class run_time_source {
  public:
    duration next(double slowness)
    {
        const double error = error_(random_);
        const double factor = unit_(random_) < tail_share ? tail_factor : 1;
        return run_call_overhead + duration_cast<duration>(declared * slowness * factor / error);
    }

  private:
    static constexpr double tail_share = 0.03;
    static constexpr double tail_factor = 7;

    std::mt19937 random_{7};
    std::uniform_real_distribution<double> error_{0.6, 1.4};
    std::uniform_real_distribution<double> unit_{0, 1};
};

class worker_speeds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_speeds_test);
    CPPUNIT_TEST(the_slowness_is_learned_from_uneven_runs);
    CPPUNIT_TEST(a_worker_that_turns_slow_is_noticed);
    CPPUNIT_TEST(a_new_worker_counts_as_fast_as_others_of_its_type);
    CPPUNIT_TEST(a_restarted_worker_is_forgotten);
    CPPUNIT_TEST(a_worker_of_a_slow_type_is_not_avoided);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        add_worker("slow-1", "type-a");
        add_worker("slow-2", "type-a");
        add_worker("fast-1", "type-b");
        add_worker("fast-2", "type-b");
    }

    void the_slowness_is_learned_from_uneven_runs()
    {
        measure(200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(slow, slowness("slow-1"), slow * tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(fast, slowness("fast-1"), fast * tolerance);
    }

    void a_worker_that_turns_slow_is_noticed()
    {
        measure(100);
        constexpr double much_slower = 3;
        for (int n = 0; n < 40; ++n) {
            measure_run("fast-1", much_slower);
        }
        CPPUNIT_ASSERT(slowness("fast-1") > 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(fast, slowness("fast-2"), fast * tolerance);
    }

    void a_new_worker_counts_as_fast_as_others_of_its_type()
    {
        measure(100);
        add_worker("fast-3", "type-b");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(fast, slowness("fast-3"), fast * tolerance);
        add_worker("other", "type-c");
        CPPUNIT_ASSERT(slowness("other") > slowness("fast-3"));
    }

    void a_restarted_worker_is_forgotten()
    {
        measure(100);
        constexpr double much_slower = 4;
        for (int n = 0; n < 40; ++n) {
            measure_run("fast-1", much_slower);
        }
        fixture_->deliver(worker_restarted{worker_id("fast-1")});
        CPPUNIT_ASSERT(slowness("fast-1") < 1);
    }

    void a_worker_of_a_slow_type_is_not_avoided()
    {
        measure(200);
        const worker_health* health = fixture_->board().health.find(worker_id("slow-1"));
        CPPUNIT_ASSERT(health == nullptr || health->avoid_until <= fixture_->now());
    }

  private:
    static constexpr double slow = 1.4;
    static constexpr double fast = 0.6;

    void add_worker(const char* id, const char* type)
    {
        worker_fields entry = job_fixture::make_worker(id);
        entry.labels = {label_name("rack-1"), label_name(type)};
        fixture_->deliver(worker_listed{entry});
        fixture_->deliver_report(id, {});
    }

    /// Delivers the end of one run on each worker, `count` times.
    void measure(int count)
    {
        for (int n = 0; n < count; ++n) {
            measure_run("slow-1", slow);
            measure_run("slow-2", slow);
            measure_run("fast-1", fast);
            measure_run("fast-2", fast);
        }
    }

    void measure_run(const char* id, double slowness)
    {
        fixture_->deliver(run_time_measured{
            .worker = worker_id(id), .measured = run_times_.next(slowness), .declared = declared});
    }

    double slowness(const char* id) const
    {
        const job_board& board = fixture_->board();
        return slowness_of(board, **board.workers.find(worker_id(id)));
    }

    std::unique_ptr<job_fixture> fixture_;
    run_time_source run_times_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_speeds_test);

} // namespace

} // namespace papayafall::jobs
