#include "papayafall/core/jobs/policies/job_cost.hpp"
#include "papayafall/core/jobs/policies/least_cost_admission.hpp"
#include "papayafall/core/jobs/policies/retry_time.hpp"
#include "papayafall/core/jobs/state/admission_share.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};
/// Capacity of the workers: the work of one core for 100 ms starts every millisecond.
constexpr std::int64_t capacity = 100'000;

core_time core_milliseconds(std::int64_t n)
{
    return {n * 1000};
}

queued_job make_job(std::uint64_t number, duration slack, std::int64_t work, double cost)
{
    return {.number = job_number(number),
            .start_by = start + slack,
            .work = core_milliseconds(work),
            .cost = cost};
}

/// A request for which there is no room without waiting.
job_request make_request(const queued_job& job)
{
    return {.job = job, .unplaced_work = job.work, .room_at = start};
}

queue_forecast make_queue(std::vector<queued_job> jobs)
{
    std::stable_sort(jobs.begin(), jobs.end(), [](const queued_job& a, const queued_job& b) {
        return a.start_by < b.start_by;
    });
    return {.now = start, .cpu_millis = capacity, .jobs = std::move(jobs)};
}

job_order_fields make_order(std::uint32_t priority)
{
    return {.priority = priority,
            .received_at = start,
            .objective_deadline = start + milliseconds(400),
            .expires_at = start + milliseconds(1200)};
}

/// Number of jobs in the queue that would start after their latest start.
std::size_t count_late(const queue_forecast& queue, const std::vector<job_number>& removed)
{
    std::size_t late = 0;
    core_time work = queue.started_work;
    for (const queued_job& it : queue.jobs) {
        if (std::find(removed.begin(), removed.end(), it.number) != removed.end()) {
            continue;
        }
        work.microseconds += it.work.microseconds;
        late += queue.starts_at(work) > it.start_by ? 1 : 0;
    }
    return late;
}

class least_cost_admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(least_cost_admission_test);
    CPPUNIT_TEST(a_job_that_fits_displaces_none);
    CPPUNIT_TEST(at_a_crest_of_one_queue_equal_jobs_keep_their_places);
    CPPUNIT_TEST(at_twice_the_room_what_starts_is_in_time);
    CPPUNIT_TEST(when_a_third_of_the_workers_is_lost_the_cheapest_jobs_yield);
    CPPUNIT_TEST(many_small_jobs_yield_to_a_wide_one_only_if_they_cost_less_together);
    CPPUNIT_TEST(a_small_job_does_not_displace_a_wide_one);
    CPPUNIT_TEST(of_three_priorities_the_lowest_yields_first);
    CPPUNIT_TEST(a_job_that_keeps_its_place_is_not_displaced);
    CPPUNIT_TEST(a_job_that_is_late_anyway_yields_at_no_cost);
    CPPUNIT_TEST(a_wide_job_at_the_head_of_the_queue_gets_the_next_places);
    CPPUNIT_TEST(a_job_is_refused_if_running_tasks_take_its_room_for_too_long);
    CPPUNIT_TEST(a_long_queue_counts_beyond_the_examined_jobs);
    CPPUNIT_TEST(an_underserved_job_displaces_costlier_ones);
    CPPUNIT_TEST(a_queue_with_less_than_half_of_its_share_is_underserved);
    CPPUNIT_TEST(the_largest_jobs_of_a_queue_are_compared_with_all_of_it);
    CPPUNIT_TEST(callers_are_told_different_times_to_return);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_job_that_fits_displaces_none()
    {
        const queue_forecast queue = make_queue({make_job(1, milliseconds(50), 2000, 1)});
        const auto decision =
            policy_.decide(make_request(make_job(0, milliseconds(50), 2000, 9)), queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::none);
        CPPUNIT_ASSERT(decision.displaced.empty());
        CPPUNIT_ASSERT(decision.expected_start == start + milliseconds(40));
    }

    // Load: a queue offers more than the room for a while.
    void at_a_crest_of_one_queue_equal_jobs_keep_their_places()
    {
        std::vector<queued_job> waiting;
        for (std::uint64_t n = 1; n <= 10; ++n) {
            waiting.push_back(make_job(n, milliseconds(100), 1000, 5));
        }
        const queue_forecast queue = make_queue(waiting);
        const auto decision =
            policy_.decide(make_request(make_job(0, milliseconds(100), 1000, 5)), queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::objective_missed);
        CPPUNIT_ASSERT(decision.displaced.empty());
        const auto other =
            policy_.decide(make_request(make_job(0, milliseconds(100), 1000, 10)), queue);
        CPPUNIT_ASSERT(other.reason == refusal_reason::none);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.displaced.size());
    }

    // Load: a zone at twice its room, from jobs of two priorities, for two seconds.
    void at_twice_the_room_what_starts_is_in_time()
    {
        queue_forecast queue = make_queue({});
        std::int64_t started_work = 0;
        std::size_t late = 0;
        std::size_t started_urgent = 0;
        constexpr std::uint64_t length = 2000; // in milliseconds
        for (std::uint64_t n = 1; n <= length; ++n) {
            queue.now = start + milliseconds(n);
            queued_job job = make_job(n, milliseconds(n + 100), 200, n % 4 == 0 ? 4 : 1);
            const auto decision = policy_.decide({job, job.work, queue.now}, queue);
            if (decision.reason == refusal_reason::none) {
                std::erase_if(queue.jobs, [&](const queued_job& it) {
                    return std::find(decision.displaced.begin(), decision.displaced.end(),
                                     it.number) != decision.displaced.end();
                });
                queue.jobs.push_back(job);
            }
            // 100 core milliseconds start in each millisecond, 200 in every second one.
            if (n % 2 == 0 && !queue.jobs.empty()) {
                const queued_job& first = queue.jobs.front();
                late += queue.now > first.start_by ? 1 : 0;
                started_urgent += first.cost > 1 ? 1 : 0;
                started_work += first.work.microseconds / 1000;
                queue.jobs.erase(queue.jobs.begin());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late);
        CPPUNIT_ASSERT(started_work >= static_cast<std::int64_t>(length) * 100 * 95 / 100);
        CPPUNIT_ASSERT(started_urgent >= length / 4 * 9 / 10);
    }

    // Load: a third of the workers is lost while the queue is as long as the room allows.
    void when_a_third_of_the_workers_is_lost_the_cheapest_jobs_yield()
    {
        std::vector<queued_job> waiting;
        for (std::uint64_t n = 1; n <= 30; ++n) {
            waiting.push_back(make_job(n, milliseconds(10 * n + 1), 1000, n % 3 == 0 ? 1.0 : 10.0));
        }
        queue_forecast queue = make_queue(waiting);
        queue.started_work = core_milliseconds(100);
        CPPUNIT_ASSERT(policy_.excess_jobs(queue).empty());
        queue.cpu_millis = capacity * 2 / 3;
        const auto removed = policy_.excess_jobs(queue);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_late(queue, removed));
        CPPUNIT_ASSERT(removed.size() <= 12);
        const auto cheap = std::count_if(removed.begin(), removed.end(),
                                         [](job_number it) { return it.value() % 3 == 0; });
        CPPUNIT_ASSERT(cheap >= 9);
    }

    // Load: many small jobs and few wide ones.
    void many_small_jobs_yield_to_a_wide_one_only_if_they_cost_less_together()
    {
        std::vector<queued_job> waiting;
        for (std::uint64_t n = 1; n <= 20; ++n) {
            waiting.push_back(make_job(n, milliseconds(100), 500, 1));
        }
        const queue_forecast queue = make_queue(waiting);
        const auto dear =
            policy_.decide(make_request(make_job(0, milliseconds(100), 5000, 10)), queue);
        CPPUNIT_ASSERT(dear.reason == refusal_reason::objective_missed); // costs 10, as the ten
        const auto worth =
            policy_.decide(make_request(make_job(0, milliseconds(100), 5000, 20)), queue);
        CPPUNIT_ASSERT(worth.reason == refusal_reason::none);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, worth.displaced.size());
    }

    void a_small_job_does_not_displace_a_wide_one()
    {
        const queue_forecast queue = make_queue({make_job(1, milliseconds(100), 10'000, 10)});
        const auto decision =
            policy_.decide(make_request(make_job(0, milliseconds(20), 500, 2)), queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::objective_missed);
        CPPUNIT_ASSERT(decision.displaced.empty());
    }

    // Load: three priorities, each with jobs of the same size.
    void of_three_priorities_the_lowest_yields_first()
    {
        const priority_weighted_work cost;
        std::vector<queued_job> waiting;
        for (std::uint64_t n = 0; n < 9; ++n) {
            queued_job job = make_job(n + 1, milliseconds(90), 1000, 0);
            job.cost = cost.cost(make_order(static_cast<std::uint32_t>(n % 3)), job.work);
            waiting.push_back(job);
        }
        const queue_forecast queue = make_queue(waiting);
        for (const std::uint32_t it : {0U, 1U}) {
            queued_job job = make_job(0, milliseconds(90), 1000, 0);
            job.cost = cost.cost(make_order(it), job.work);
            const auto decision = policy_.decide(make_request(job), queue);
            CPPUNIT_ASSERT(decision.reason == refusal_reason::none);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.displaced.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decision.displaced[0].value() % 3);
        }
        queued_job lowest = make_job(0, milliseconds(90), 1000, 0);
        lowest.cost = cost.cost(make_order(2), lowest.work);
        CPPUNIT_ASSERT(policy_.decide(make_request(lowest), queue).reason ==
                       refusal_reason::objective_missed);
    }

    void a_job_that_keeps_its_place_is_not_displaced()
    {
        queued_job kept = make_job(1, milliseconds(100), 10'000, 1);
        kept.may_yield = false;
        queue_forecast queue = make_queue({kept});
        const auto decision =
            policy_.decide(make_request(make_job(0, milliseconds(50), 5000, 100)), queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::objective_missed);
        queue.cpu_millis = capacity / 2;
        CPPUNIT_ASSERT(policy_.excess_jobs(queue).empty());
    }

    void a_job_that_is_late_anyway_yields_at_no_cost()
    {
        const queue_forecast queue = make_queue(
            {make_job(1, milliseconds(-20), 1000, 9), make_job(2, milliseconds(10), 1000, 1)});
        const auto removed = policy_.excess_jobs(queue);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
        CPPUNIT_ASSERT(removed[0] == job_number(1));
    }

    void a_wide_job_at_the_head_of_the_queue_gets_the_next_places()
    {
        queue_forecast queue = make_queue({make_job(1, milliseconds(50), 20'000, 1)});
        CPPUNIT_ASSERT(policy_.excess_jobs(queue).empty());
        queue.started_work = core_milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, policy_.excess_jobs(queue).size());
    }

    void a_job_is_refused_if_running_tasks_take_its_room_for_too_long()
    {
        job_request request = make_request(make_job(0, milliseconds(50), 1000, 100));
        request.room_at = start + milliseconds(60);
        const queue_forecast queue = make_queue({make_job(1, milliseconds(100), 1000, 1)});
        const auto decision = policy_.decide(request, queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::objective_missed);
        CPPUNIT_ASSERT(decision.displaced.empty());
    }

    void a_long_queue_counts_beyond_the_examined_jobs()
    {
        queue_forecast queue = make_queue({make_job(1, milliseconds(10), 500, 1)});
        queue.work_beyond = core_milliseconds(10'000);
        const queued_job behind = make_job(0, milliseconds(100), 1000, 9);
        CPPUNIT_ASSERT(policy_.decide(make_request(behind), queue).reason ==
                       refusal_reason::objective_missed);
        const queued_job ahead = make_job(0, milliseconds(9), 100, 9);
        CPPUNIT_ASSERT(policy_.decide(make_request(ahead), queue).reason == refusal_reason::none);
    }

    void an_underserved_job_displaces_costlier_ones()
    {
        const queue_forecast queue = make_queue({make_job(1, milliseconds(100), 10'000, 10)});
        job_request request = make_request(make_job(0, milliseconds(100), 500, 2));
        request.underserved = true;
        const auto decision = policy_.decide(request, queue);
        CPPUNIT_ASSERT(decision.reason == refusal_reason::none);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.displaced.size());
    }

    void a_queue_with_less_than_half_of_its_share_is_underserved()
    {
        admission_share whole;
        admission_share part;
        for (std::uint64_t n = 0; n < 100; ++n) {
            whole = whole.with(core_milliseconds(90), true, start + milliseconds(n));
            whole = whole.with(core_milliseconds(10), n % 4 == 0, start + milliseconds(n));
            part = part.with(core_milliseconds(10), n % 4 == 0, start + milliseconds(n));
        }
        CPPUNIT_ASSERT(is_underserved(part, whole, start + milliseconds(100)));
        for (std::uint64_t n = 100; n < 200; ++n) {
            part = part.with(core_milliseconds(10), true, start + milliseconds(n));
        }
        CPPUNIT_ASSERT(!is_underserved(part, whole, start + milliseconds(200)));
        CPPUNIT_ASSERT(!is_underserved(admission_share(), whole, start));
    }

    void the_largest_jobs_of_a_queue_are_compared_with_all_of_it()
    {
        queue_admissions shares;
        for (std::uint64_t n = 0; n < 1000; ++n) {
            const bool wide = n % 20 == 0;
            shares = shares.with(
                core_milliseconds(wide ? 9000 : 1000 + static_cast<std::int64_t>(n % 100)), !wide,
                start + milliseconds(n));
        }
        const time_point now = start + seconds(1);
        CPPUNIT_ASSERT(shares.is_large(core_milliseconds(9000)));
        CPPUNIT_ASSERT(!shares.is_large(core_milliseconds(900)));
        CPPUNIT_ASSERT(is_underserved(shares.large_jobs, shares.all_jobs, now));
    }

    void callers_are_told_different_times_to_return()
    {
        std::set<std::int64_t> seconds_told;
        for (int n = 0; n < 50; ++n) {
            const time_point at =
                retry_time(job_id("job-" + std::to_string(n)), start + seconds(3), start);
            CPPUNIT_ASSERT(at >= start + seconds(3));
            seconds_told.insert((at - start) / seconds(1));
        }
        CPPUNIT_ASSERT(seconds_told.size() >= 2);
        CPPUNIT_ASSERT(retry_time(job_id("job-1"), start, start) >= start + seconds(1));
    }

  private:
    const least_cost_admission policy_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(least_cost_admission_test);

} // namespace

} // namespace papayafall::jobs
