#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"

#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace papayafall::jobs {

namespace {

/// Time until a fully loaded dispatcher has free capacity for a job.
constexpr duration typical_job_wait = std::chrono::milliseconds(40);
/// Age from which a load report counts as old: two reports should have followed.
constexpr duration fresh_report_age = std::chrono::milliseconds(250);

duration age_of(const dispatcher_candidate& it, time_point now)
{
    return std::max(duration{}, now - it.reported_at);
}

/// Share of the job's tasks that do not find a place now; 0: all of them do.
double missing_share(const dispatcher_candidate& it, const dispatch_demand& demand, time_point now)
{
    if (demand.tasks == 0) {
        return 0;
    }
    const double tasks = demand.tasks;
    return std::max(0.0, tasks - free_places(it, demand, now)) / tasks;
}

/// Returns the expected wait of one more job at the dispatcher.
duration expected_wait(const dispatcher_candidate& it, const dispatch_demand& demand,
                       time_point now)
{
    const double total = std::max<double>(1, static_cast<double>(it.load.total_cpu_millis));
    const double sent_share = static_cast<double>(it.sent_cpu_millis) / total;
    const double shortage = missing_share(it, demand, now) + sent_share;
    const auto shortage_wait = std::chrono::duration_cast<duration>(typical_job_wait * shortage);
    const duration outdated = std::max(duration{}, age_of(it, now) - fresh_report_age);
    return it.load.predicted_wait + shortage_wait + outdated;
}

/// Weight of a dispatcher in the spread: the tasks that it can start now.
double free_weight(const dispatcher_candidate& it, const dispatch_demand& demand, time_point now)
{
    return 1.0 + free_places(it, demand, now);
}

/// Weight of a full dispatcher of the own zone beside those of other zones: all the tasks that it
/// runs at a time, since their places come free again, and less the longer its queue is. Without it
/// a zone that is a little over its room would send all its jobs away at once.
double turnover_weight(const dispatcher_candidate& it, const dispatch_demand& demand)
{
    const auto need = static_cast<double>(std::max<std::int64_t>(1, demand.cpu_millis));
    const double tasks = static_cast<double>(it.load.total_cpu_millis) / need;
    return tasks * std::chrono::duration<double>(typical_job_wait) /
           (typical_job_wait + it.load.predicted_wait);
}

/// Score of a host in weighted rendezvous hashing; the highest is chosen. A host is chosen with a
/// probability in proportion to its weight.
double spread_score(const host_name& host, const job_id& job, double weight)
{
    const auto hash = static_cast<double>(rendezvous_weight(host, job.text()));
    const double position =
        (hash + 1) / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -weight / std::log(std::min(position, 1 - std::numeric_limits<double>::epsilon()));
}

} // namespace

dispatch_demand demand_of(const job_spec_fields& job)
{
    dispatch_demand demand{.job = job.id};
    for (const job_step& it : job.steps) {
        if (it.need.cpu_millis * std::int64_t{it.count} >
            demand.cpu_millis * std::int64_t{demand.tasks}) {
            demand.cpu_millis = it.need.cpu_millis;
            demand.tasks = it.count;
        }
    }
    return demand;
}

std::uint32_t free_places(const dispatcher_candidate& it, const dispatch_demand& demand,
                          time_point now)
{
    const auto need = static_cast<double>(std::max<std::int64_t>(1, demand.cpu_millis));
    const bool counted = it.load.places != place_counts{};
    const double reported = counted ? it.load.places.free[place_class_of(demand.cpu_millis)]
                                    : static_cast<double>(it.load.free_cpu_millis) / need;
    const double taken = static_cast<double>(it.sent_cpu_millis) / need;
    const duration outdated = std::max(duration{}, age_of(it, now) - fresh_report_age);
    const double lost_certainty =
        std::chrono::duration<double>(outdated) /
        std::chrono::duration<double>(load_report_lifetime - fresh_report_age);
    const double free = (reported - taken) * std::max(0.0, 1 - lost_certainty);
    return static_cast<std::uint32_t>(std::max(0.0, free));
}

std::optional<std::size_t>
own_zone_first::choose(const dispatch_demand& /*demand*/,
                       const std::vector<dispatcher_candidate>& candidates,
                       time_point /*now*/) const
{
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (!candidates[n].load.accepting) {
            continue;
        }
        if (!found || (candidates[n].same_zone && !candidates[*found].same_zone)) {
            found = n;
        }
    }
    return found;
}

shortest_wait::shortest_wait(duration zone_margin, duration spread)
    : zone_margin_(zone_margin), spread_(spread)
{
}

std::optional<std::size_t>
shortest_wait::choose(const dispatch_demand& demand,
                      const std::vector<dispatcher_candidate>& candidates, time_point now) const
{
    const auto wait_at = [&](const dispatcher_candidate& it) {
        return expected_wait(it, demand, now) + (it.same_zone ? duration{} : zone_margin_);
    };
    std::optional<std::size_t> best;
    duration best_wait{};
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (!candidates[n].load.accepting) {
            continue;
        }
        const duration wait = wait_at(candidates[n]);
        if (!best || wait < best_wait) {
            best = n;
            best_wait = wait;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const bool stays_in_zone = candidates[*best].same_zone;
    std::size_t chosen = *best;
    double highest = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const dispatcher_candidate& it = candidates[n];
        const bool turns_over = it.same_zone && !stays_in_zone;
        const bool nearly_best = wait_at(it) <= best_wait + spread_;
        if (!it.load.accepting || (stays_in_zone && !it.same_zone) ||
            (!turns_over && !nearly_best)) {
            continue;
        }
        const double weight =
            turns_over ? turnover_weight(it, demand) : free_weight(it, demand, now);
        const double score = spread_score(it.host, demand.job, weight);
        if (score > highest) {
            highest = score;
            chosen = n;
        }
    }
    return chosen;
}

} // namespace papayafall::jobs
