#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(100)};
constexpr duration report_period = milliseconds(100);
constexpr std::int64_t task_cpu_millis = 16'000;

load_report make_load(std::uint32_t places, duration wait = {}, std::int64_t total = 1'000'000)
{
    load_report load{.accepting = true,
                     .free_cpu_millis = task_cpu_millis * places,
                     .total_cpu_millis = total,
                     .predicted_wait = wait};
    std::fill_n(load.places.free.begin(), place_class_of(task_cpu_millis) + 1, places);
    load.places.free[0] = std::max<std::uint32_t>(places, 1); // fragments remain
    return load;
}

dispatcher_candidate make_candidate(const std::string& host, const load_report& load,
                                    bool same_zone = true)
{
    return {.host = host_name(host), .same_zone = same_zone, .load = load, .reported_at = start};
}

dispatch_demand make_demand(int job, std::uint32_t tasks = 2)
{
    return {
        .job = job_id("job-" + std::to_string(job)), .cpu_millis = task_cpu_millis, .tasks = tasks};
}

/// Counts how many of `jobs` jobs go to each candidate, each chosen by a host that has sent none.
std::map<std::string, int> count_choices(const std::vector<dispatcher_candidate>& candidates,
                                         int jobs)
{
    const shortest_wait policy;
    std::map<std::string, int> counts;
    for (int n = 0; n < jobs; ++n) {
        const auto chosen = policy.choose(make_demand(n), candidates, start);
        CPPUNIT_ASSERT(chosen.has_value());
        ++counts[candidates[*chosen].host.text()];
    }
    return counts;
}

/// A zone with one dispatcher, in steps of a report period.
struct zone_model {
    std::uint32_t places = 0; ///< number of tasks that it can run at a time
    double busy = 0;
    double waiting = 0; ///< tasks

    load_report load() const
    {
        const double free = std::max(0.0, places - busy);
        return make_load(static_cast<std::uint32_t>(free),
                         report_period * static_cast<int>(10 * waiting / places) / 10,
                         task_cpu_millis * places);
    }

    /// All tasks run for one report period.
    void step(double arrived)
    {
        waiting += arrived;
        busy = std::min<double>(places, waiting);
        waiting -= busy;
    }
};

/// Offers jobs of two tasks to three zones of 100 places each; a host of the zone chooses for each.
/// @param jobs_of  number of jobs that arrive in a zone in a period
/// @return largest number of tasks that waited at the end of a period in any zone
template <typename Arrivals>
double largest_backlog(const dispatcher_selection_policy& policy, Arrivals jobs_of)
{
    constexpr int hosts_in_zone = 15;
    std::array<zone_model, 3> zones{{{.places = 100}, {.places = 100}, {.places = 100}}};
    double largest = 0;
    int job = 0;
    for (int period = 0; period < 60; ++period) {
        std::array<double, 3> arrived{};
        for (std::size_t zone = 0; zone < zones.size(); ++zone) {
            std::vector<dispatcher_candidate> reported;
            for (std::size_t n = 0; n < zones.size(); ++n) {
                reported.push_back(
                    make_candidate("host-" + std::to_string(n), zones[n].load(), n == zone));
            }
            std::vector<std::vector<dispatcher_candidate>> views(hosts_in_zone, reported);
            const int jobs = jobs_of(zone, period);
            for (int n = 0; n < jobs; ++n) {
                auto& view = views[static_cast<std::size_t>(n) % views.size()];
                const dispatch_demand demand = make_demand(++job);
                const std::size_t chosen = *policy.choose(demand, view, start);
                view[chosen].sent_cpu_millis += demand.cpu_millis * demand.tasks;
                arrived[chosen] += demand.tasks;
            }
        }
        for (std::size_t n = 0; n < zones.size(); ++n) {
            zones[n].step(arrived[n]);
            largest = std::max(largest, zones[n].waiting);
        }
    }
    return largest;
}

class dispatcher_selection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_selection_test);
    CPPUNIT_TEST(places_count_for_more_than_free_cores);
    CPPUNIT_TEST(the_own_zone_goes_first_while_it_has_places);
    CPPUNIT_TEST(a_full_zone_sends_to_one_with_places);
    CPPUNIT_TEST(jobs_sent_since_the_report_take_places);
    CPPUNIT_TEST(an_old_report_counts_for_less);
    CPPUNIT_TEST(jobs_spread_in_proportion_to_the_places);
    CPPUNIT_TEST(many_hosts_do_not_all_choose_the_same_place);
    CPPUNIT_TEST(a_dispatcher_that_accepts_none_is_not_chosen);
    CPPUNIT_TEST(waves_out_of_phase_are_shared);
    CPPUNIT_TEST(a_zone_at_twice_its_room_uses_idle_ones);
    CPPUNIT_TEST(unlinked_dispatchers_leave_the_others_in_use);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Load: two dispatchers with the same sum of free cores, in one of them in small pieces.
    void places_count_for_more_than_free_cores()
    {
        load_report pieces = make_load(0);
        pieces.free_cpu_millis = 160'000;
        pieces.places.free[0] = 160;
        const auto counts = count_choices(
            {make_candidate("pieces", pieces), make_candidate("whole", make_load(4))}, 50);
        CPPUNIT_ASSERT_EQUAL(50, counts.at("whole"));
    }

    /// Load: both zones mostly idle.
    void the_own_zone_goes_first_while_it_has_places()
    {
        const auto counts = count_choices(
            {make_candidate("near", make_load(10)), make_candidate("far", make_load(90), false)},
            50);
        CPPUNIT_ASSERT_EQUAL(50, counts.at("near"));
    }

    /// Load: the own zone is full and has a queue of 50 ms, then of 400 ms.
    void a_full_zone_sends_to_one_with_places()
    {
        const auto sent_away = [](duration queue) {
            return count_choices({make_candidate("near", make_load(0, queue)),
                                  make_candidate("far", make_load(20), false)},
                                 100)["far"];
        };
        const int with_short_queue = sent_away(milliseconds(50));
        CPPUNIT_ASSERT(with_short_queue >= 30 && with_short_queue <= 60);
        CPPUNIT_ASSERT(sent_away(milliseconds(400)) >= 70);
    }

    /// Load: one host sends ten jobs of two tasks where twelve places are free.
    void jobs_sent_since_the_report_take_places()
    {
        dispatcher_candidate it = make_candidate("a", make_load(12));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, free_places(it, make_demand(1), start));
        it.sent_cpu_millis = task_cpu_millis * 2 * 5;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, free_places(it, make_demand(1), start));
        it.sent_cpu_millis = task_cpu_millis * 2 * 10;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, free_places(it, make_demand(1), start));
    }

    /// Load: as many places in an old report as in a new one, and a report of one second ago.
    void an_old_report_counts_for_less()
    {
        dispatcher_candidate old = make_candidate("old", make_load(20));
        const dispatcher_candidate fresh = make_candidate("fresh", make_load(20));
        old.reported_at = start - milliseconds(600);
        CPPUNIT_ASSERT(free_places(old, make_demand(1), start) <
                       free_places(fresh, make_demand(1), start));
        CPPUNIT_ASSERT_EQUAL(50, count_choices({old, fresh}, 50).at("fresh"));
        old.reported_at = start - load_report_lifetime;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, free_places(old, make_demand(1), start));
    }

    /// Load: 400 jobs, places three to one.
    void jobs_spread_in_proportion_to_the_places()
    {
        const auto counts = count_choices(
            {make_candidate("a", make_load(29)), make_candidate("b", make_load(9))}, 400);
        CPPUNIT_ASSERT(counts.at("a") > 270 && counts.at("a") < 330);
    }

    /// Load: 45 hosts with one job each see the same reports, in which one dispatcher has a little
    /// more room than three others.
    void many_hosts_do_not_all_choose_the_same_place()
    {
        const auto counts =
            count_choices({make_candidate("a", make_load(11)), make_candidate("b", make_load(10)),
                           make_candidate("c", make_load(10)), make_candidate("d", make_load(10))},
                          45);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, counts.size());
        for (const auto& [host, n] : counts) {
            CPPUNIT_ASSERT_MESSAGE(host, n <= 20);
        }
    }

    /// Load: the only dispatcher with room is leaving.
    void a_dispatcher_that_accepts_none_is_not_chosen()
    {
        load_report leaving = make_load(50);
        leaving.accepting = false;
        const shortest_wait policy;
        CPPUNIT_ASSERT(!policy.choose(make_demand(1), {make_candidate("a", leaving)}, start));
    }

    /// Load: waves in three zones out of phase, 25 to 65 jobs of two tasks a period at 50 that fit,
    /// 45 on average.
    void waves_out_of_phase_are_shared()
    {
        const auto wave = [](std::size_t zone, int period) {
            constexpr std::array<int, 6> jobs{45, 60, 65, 45, 30, 25};
            return jobs[(static_cast<std::size_t>(period / 3) + 2 * zone) % jobs.size()];
        };
        assert_shared_better_than_by_zone(wave);
    }

    /// Load: 100 jobs of two tasks a period in one zone with room for 50, 10 in each other zone.
    void a_zone_at_twice_its_room_uses_idle_ones()
    {
        assert_shared_better_than_by_zone(
            [](std::size_t zone, int /*period*/) { return zone == 0 ? 100 : 10; });
    }

    /// Load: 300 jobs where a third of the dispatchers is not linked, so without any report.
    void unlinked_dispatchers_leave_the_others_in_use()
    {
        load_report unknown;
        const auto counts =
            count_choices({make_candidate("lost", unknown), make_candidate("a", make_load(10)),
                           make_candidate("b", make_load(10))},
                          300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, counts.size());
        CPPUNIT_ASSERT(counts.at("a") > 100 && counts.at("b") > 100);
    }

  private:
    template <typename Arrivals>
    static void assert_shared_better_than_by_zone(Arrivals arrivals)
    {
        const double by_zone = largest_backlog(own_zone_first(), arrivals);
        const double shared = largest_backlog(shortest_wait(), arrivals);
        CPPUNIT_ASSERT_MESSAGE("tasks waiting: " + std::to_string(shared) + ", baseline " +
                                   std::to_string(by_zone),
                               shared < by_zone / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_selection_test);

} // namespace

} // namespace papayafall::jobs
