#include "support/job_fixture.hpp"

#include "papayafall/core/jobs/controllers/peer_controller.hpp"
#include "papayafall/core/jobs/policies/place_forecast.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using test_support::job_fixture;

const service_name desk("desk");
/// A worker has 64 cores, so that it has places for two of these tasks, or for three small ones.
constexpr resources wide{.cpu_millis = 27'000, .memory_mb = 10};
constexpr resources small_need{.cpu_millis = 20'000, .memory_mb = 10};

class place_forecast_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(place_forecast_test);
    CPPUNIT_TEST(free_places_are_counted_on_each_worker);
    CPPUNIT_TEST(free_cores_in_pieces_are_no_place);
    CPPUNIT_TEST(places_come_free_as_runs_are_expected_to_end);
    CPPUNIT_TEST(an_overdue_run_is_expected_to_go_on_for_a_while);
    CPPUNIT_TEST(more_places_than_there_can_be_are_not_foreseen);
    CPPUNIT_TEST(the_load_report_tells_places_by_size_class);
    CPPUNIT_TEST(a_wide_task_gets_its_place_behind_many_small_ones);
    CPPUNIT_TEST(the_index_equals_a_full_scan_after_random_changes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        fixture_ = std::make_unique<job_fixture>();
        fixture_->acquire_cell();
        fixture_->add_worker("w-1");
        fixture_->add_worker("w-2");
        fixture_->take_actions<fetch_report>();
    }

    void free_places_are_counted_on_each_worker()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, forecast(wide, 4).free_now);
        CPPUNIT_ASSERT(forecast(wide, 4).available_at == fixture_->now());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, forecast(small_need, 9).free_now);
    }

    // Load: one task on each of two workers, which leaves 37 cores free on each.
    void free_cores_in_pieces_are_no_place()
    {
        fixture_->submit_and_take_starts(1, 3);
        const resources large{.cpu_millis = 40'000, .memory_mb = 10};
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, forecast(large, 1).free_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, forecast(wide, 2).free_now);
    }

    // Load: both workers full with tasks of 100 ms.
    void places_come_free_as_runs_are_expected_to_end()
    {
        const time_point started_at = fixture_->now();
        fixture_->submit_and_take_starts(1, 4);
        const place_forecast found = forecast(wide, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, found.free_now);
        CPPUNIT_ASSERT(found.available_at > started_at + milliseconds(90));
        CPPUNIT_ASSERT(found.available_at < started_at + milliseconds(150));
    }

    void an_overdue_run_is_expected_to_go_on_for_a_while()
    {
        fixture_->submit_and_take_starts(1, 4);
        fixture_->advance(milliseconds(150));
        const place_forecast found = forecast(wide, 1);
        CPPUNIT_ASSERT(found.available_at > fixture_->now());
        CPPUNIT_ASSERT(found.available_at < fixture_->now() + milliseconds(150));
    }

    void more_places_than_there_can_be_are_not_foreseen()
    {
        fixture_->submit_and_take_starts(1, 4);
        CPPUNIT_ASSERT(forecast(wide, 5).available_at == no_deadline);
        CPPUNIT_ASSERT(forecast_places(fixture_->board(), service_name("other"), wide, 1,
                                       fixture_->now()) == place_forecast());
    }

    void the_load_report_tells_places_by_size_class()
    {
        const load_report idle = own_load(fixture_->board());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, idle.places.free.at(place_class_of(32'000)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, idle.places.free.at(place_class_of(64'000)));
        fixture_->submit_and_take_starts(1, 3);
        const load_report busy = own_load(fixture_->board());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, busy.places.free.at(place_class_of(32'000)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{128'000 - 3 * 27'000}, busy.free_cpu_millis);
    }

    // Load: a stream of small tasks, each job of which takes any piece that comes free, and one
    // task that needs a whole worker.
    void a_wide_task_gets_its_place_behind_many_small_ones()
    {
        std::vector<start_run> runs = submit(1, 6, small_need);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, runs.size());
        CPPUNIT_ASSERT(submit(2, 1, {.cpu_millis = 64'000, .memory_mb = 10}).empty());
        const job_id wide_job = id_of(2);
        bool started = false;
        for (std::uint64_t call = 3; call < 12 && !started; ++call) {
            submit(call, 1, small_need);
            CPPUNIT_ASSERT(!runs.empty());
            const start_run ended = runs.front();
            runs.erase(runs.begin());
            fixture_->accept_start(ended);
            fixture_->report_run_end(ended, run_outcome::done);
            for (const start_run& it : fixture_->take_actions<start_run>()) {
                started = started || it.run.job == wide_job;
                runs.push_back(it);
            }
        }
        CPPUNIT_ASSERT(started);
    }

    // Load: workers and jobs that come, drain, fail and end in random order. The fixture compares
    // the index with a full scan after each event.
    void the_index_equals_a_full_scan_after_random_changes()
    {
        for (std::uint32_t seed = 1; seed <= 4; ++seed) {
            setUp();
            std::mt19937 random(seed);
            std::vector<start_run> runs;
            for (std::uint64_t n = 1; n <= 150; ++n) {
                change_at_random(random, n, runs);
            }
        }
    }

  private:
    static job_id id_of(std::uint64_t call)
    {
        const std::string number = std::to_string(call);
        return job_id(std::string(16 - number.size(), '0') + number);
    }

    place_forecast forecast(const resources& need, std::uint32_t wanted) const
    {
        return forecast_places(fixture_->board(), desk, need, wanted, fixture_->now());
    }

    std::vector<start_run> submit(std::uint64_t call, std::uint32_t tasks, const resources& need)
    {
        job_spec_fields it = *job_fixture::make_job(id_of(call).text(), tasks);
        it.steps.front().need = need;
        fixture_->submit_job(call, it);
        return fixture_->take_actions<start_run>();
    }

    void change_at_random(std::mt19937& random, std::uint64_t n, std::vector<start_run>& runs)
    {
        const auto pick = [&](std::size_t count) { return random() % count; };
        const std::string worker_name = "w-" + std::to_string(1 + pick(5));
        switch (pick(6)) {
        case 0:
            fixture_->add_worker(worker_name);
            break;
        case 1: {
            worker_fields entry = job_fixture::make_worker(worker_name);
            entry.draining = pick(2) == 0;
            entry.capacity.cpu_millis = 32'000 * static_cast<std::int64_t>(1 + pick(3));
            fixture_->deliver(worker_listed{entry});
            break;
        }
        case 2:
            fixture_->deliver(
                report_failed{.worker = worker_id(worker_name), .reason = call_failure::timed_out});
            break;
        case 3:
            fixture_->deliver(worker_unlisted{worker_id(worker_name)});
            fixture_->advance(milliseconds(100));
            break;
        default:
            for (const start_run& it : submit(n, 1, pick(2) == 0 ? wide : small_need)) {
                fixture_->accept_start(it);
                runs.push_back(it);
            }
        }
        if (!runs.empty() && pick(2) == 0) {
            const std::size_t ended = pick(runs.size());
            fixture_->report_run_end(runs[ended], run_outcome::done);
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(ended));
        }
    }

    std::unique_ptr<job_fixture> fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(place_forecast_test);

} // namespace

} // namespace papayafall::jobs
