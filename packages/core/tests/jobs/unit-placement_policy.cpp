#include "papayafall/core/jobs/policies/slack_aware_placement.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double slow = 1.4;
constexpr double fast = 0.6;
constexpr std::int64_t slow_cpu_millis = 64'000;
constexpr std::int64_t fast_cpu_millis = 96'000;

/// Workers of one service, on which tasks are placed one by one as the policy chooses.
class fleet {
  public:
    void add(const std::string& id, double slowness, std::int64_t cpu_millis)
    {
        entries_.push_back({.id = worker_id(id), .capacity = {.cpu_millis = cpu_millis}});
        slowness_.push_back(slowness);
        free_.push_back({.cpu_millis = cpu_millis});
    }

    /// Places a task and returns the slowness of its worker; 0: it has to wait.
    double place(std::int64_t cpu_millis, milliseconds run_time, milliseconds time_left)
    {
        const job_step step{.count = 1, .need = {.cpu_millis = cpu_millis}};
        recent_ = recent_.with(cpu_millis);
        std::vector<placement_candidate> candidates;
        std::vector<std::size_t> positions;
        for (std::size_t n = 0; n < entries_.size(); ++n) {
            if (!step.need.fits(free_[n])) {
                continue;
            }
            candidates.push_back(
                {.entry = &entries_[n],
                 .free = free_[n],
                 .slowness = slowness_[n],
                 .expected_run_time = duration_cast<duration>(run_time * slowness_[n])});
            positions.push_back(n);
        }
        if (candidates.empty()) {
            return 0;
        }
        const std::optional<std::size_t> choice = slack_aware_placement().choose(
            {.step = &step,
             .time_left = time_left,
             .best_run_time = duration_cast<duration>(run_time * fast),
             .recent = recent_},
            candidates);
        if (!choice) {
            return 0;
        }
        const std::size_t chosen = positions[*choice];
        free_[chosen] = free_[chosen] - step.need;
        return slowness_[chosen];
    }

  private:
    std::vector<worker_fields> entries_;
    std::vector<double> slowness_;
    std::vector<resources> free_;
    demand_sample recent_;
};

class placement_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_policy_test);
    CPPUNIT_TEST(long_tasks_find_fast_workers_while_short_ones_fill_the_slow);
    CPPUNIT_TEST(a_task_that_is_late_everywhere_goes_to_the_fastest_worker);
    CPPUNIT_TEST(a_task_that_a_slow_worker_would_make_late_waits_for_a_fast_one);
    CPPUNIT_TEST(a_task_takes_the_room_that_no_other_task_could_use);
    CPPUNIT_TEST(workers_to_avoid_come_last);
    CPPUNIT_TEST(the_preferred_rack_comes_before_the_speed);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Load: short tasks with slack, followed by long ones without, that fill a mixed fleet.
    void long_tasks_find_fast_workers_while_short_ones_fill_the_slow()
    {
        fleet workers;
        for (int n = 0; n < 4; ++n) {
            workers.add("slow-" + std::to_string(n), slow, slow_cpu_millis);
            workers.add("fast-" + std::to_string(n), fast, fast_cpu_millis);
        }
        for (int n = 0; n < 8; ++n) {
            CPPUNIT_ASSERT_EQUAL(slow, workers.place(32'000, milliseconds(50), milliseconds(140)));
        }
        for (int n = 0; n < 12; ++n) {
            CPPUNIT_ASSERT_EQUAL(fast,
                                 workers.place(32'000, milliseconds(760), milliseconds(1'270)));
        }
        CPPUNIT_ASSERT_EQUAL(0.0, workers.place(32'000, milliseconds(50), milliseconds(140)));
    }

    void a_task_that_is_late_everywhere_goes_to_the_fastest_worker()
    {
        fleet workers;
        workers.add("slow", slow, slow_cpu_millis);
        workers.add("fast", fast, fast_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(fast, workers.place(32'000, milliseconds(760), milliseconds(100)));
    }

    // Load: long tasks fill the fast worker of two; the next one could still end in time there.
    void a_task_that_a_slow_worker_would_make_late_waits_for_a_fast_one()
    {
        fleet workers;
        workers.add("slow", slow, slow_cpu_millis);
        workers.add("fast", fast, fast_cpu_millis);
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT_EQUAL(fast, workers.place(32'000, milliseconds(760), milliseconds(900)));
        }
        CPPUNIT_ASSERT_EQUAL(0.0, workers.place(32'000, milliseconds(760), milliseconds(900)));
        CPPUNIT_ASSERT_EQUAL(slow, workers.place(32'000, milliseconds(760), milliseconds(500)));
    }

    // Load: tasks of 20 and 11 cores; 31 and 24 cores are free on two workers of equal speed.
    void a_task_takes_the_room_that_no_other_task_could_use()
    {
        const std::vector<worker_fields> entries{{.id = worker_id("a")}, {.id = worker_id("b")}};
        const std::vector<placement_candidate> candidates{
            {.entry = &entries[0], .free = {.cpu_millis = 24'000}},
            {.entry = &entries[1], .free = {.cpu_millis = 31'000}}};
        demand_sample recent;
        for (int n = 0; n < 8; ++n) {
            recent = recent.with(20'000).with(11'000);
        }
        // On `a` the rest of 4 cores would be lost, on `b` a task of 20 cores fits beside it.
        const job_step small{.count = 1, .need = {.cpu_millis = 11'000}};
        const placement_demand demand{
            .step = &small, .time_left = milliseconds(100), .recent = recent};
        CPPUNIT_ASSERT(std::optional<std::size_t>(1) ==
                       slack_aware_placement().choose(demand, candidates));
    }

    void workers_to_avoid_come_last()
    {
        const std::vector<worker_fields> entries{{.id = worker_id("a")}, {.id = worker_id("b")}};
        const std::vector<placement_candidate> candidates{
            {.entry = &entries[0], .free = {.cpu_millis = 20'000}, .avoided = true},
            {.entry = &entries[1], .free = {.cpu_millis = 60'000}, .slowness = fast}};
        const job_step step{.count = 1, .need = {.cpu_millis = 11'000}};
        CPPUNIT_ASSERT(std::optional<std::size_t>(1) ==
                       slack_aware_placement().choose(
                           {.step = &step, .time_left = milliseconds(100)}, candidates));
    }

    void the_preferred_rack_comes_before_the_speed()
    {
        const label_name rack("rack-7");
        const std::vector<worker_fields> entries{{.id = worker_id("a")},
                                                 {.id = worker_id("b"), .labels = {rack}}};
        const std::vector<placement_candidate> candidates{
            {.entry = &entries[0], .free = {.cpu_millis = 60'000}, .slowness = fast},
            {.entry = &entries[1], .free = {.cpu_millis = 60'000}, .slowness = slow}};
        const job_step step{.count = 1, .need = {.cpu_millis = 11'000}, .preferred_rack = rack};
        CPPUNIT_ASSERT(std::optional<std::size_t>(1) ==
                       slack_aware_placement().choose(
                           {.step = &step, .time_left = milliseconds(100)}, candidates));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_policy_test);

} // namespace

} // namespace papayafall::jobs
