#include "papayafall/core/jobs/policies/place_forecast.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Number of runs whose ends are considered.
constexpr std::size_t max_considered_runs = 512;
/// An overdue run is expected to go on for its age divided by this.
constexpr int overdue_age_divisor = 3;

bool is_avoided(const job_board& board, const worker_id& id, time_point now)
{
    const worker_health* health = board.health.find(id);
    return health != nullptr && health->avoid_until > now;
}

/// Whether the service has a worker that can be given runs and need not be avoided.
bool has_healthy_worker(const job_board& board, const service_name& service, time_point now)
{
    constexpr std::int64_t least = std::numeric_limits<std::int64_t>::min();
    for (auto it =
             board.free_capacities.lower_bound({.service = service, .free_cpu_millis = least});
         it != board.free_capacities.end() && it->key.service == service; ++it) {
        if (!is_avoided(board, it->key.worker, now)) {
            return true;
        }
    }
    return false;
}

/// Ends of the runs that end first, in order.
std::vector<std::pair<time_point, const run_state*>> next_run_ends(const job_board& board,
                                                                   time_point now)
{
    std::vector<std::pair<time_point, const run_state*>> ends;
    for (auto it = board.runs.earliest();
         it != board.runs.latest_end() && ends.size() < max_considered_runs; ++it) {
        ends.emplace_back(expected_end_of(it->value, board.parameters, now), &it->value);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return ends;
}

} // namespace

time_point expected_end_of(const run_state& run, const job_parameters& parameters, time_point now)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::stop_confirmed) {
        return now + parameters.max_run_stop_time;
    }
    if (run.expected_end > now) {
        return run.expected_end;
    }
    return now + (now - run.start_sent_at) / overdue_age_divisor;
}

place_forecast forecast_places(const job_board& board, const service_name& service,
                               const resources& need, std::uint32_t wanted, time_point now)
{
    const bool skips_avoided = has_healthy_worker(board, service, now);
    const auto usable = [&](const worker_id& id) {
        return !(skips_avoided && is_avoided(board, id, now)) && !board.trials.contains(id) &&
               id != *board.reserved_worker;
    };
    std::uint64_t places = 0;
    for (auto it = board.free_capacities.lower_bound(
             {.service = service, .free_cpu_millis = need.cpu_millis});
         it != board.free_capacities.end() && it->key.service == service && places < wanted; ++it) {
        if (usable(it->key.worker)) {
            places += places_within(it->value, need);
        }
    }
    place_forecast forecast{
        .free_now = static_cast<std::uint32_t>(std::min<std::uint64_t>(places, wanted))};
    if (places >= wanted) {
        forecast.available_at = now;
        return forecast;
    }
    std::map<worker_id, resources> free_later;
    for (const auto& [ends_at, run] : next_run_ends(board, now)) {
        const indexed_worker* indexed = board.indexed_workers.find(run->worker);
        if (indexed == nullptr || !indexed->ready || indexed->service != service ||
            !usable(run->worker)) {
            continue;
        }
        resources& free = free_later.emplace(run->worker, indexed->free).first->second;
        places -= places_within(free, need);
        free = free + run->need;
        places += places_within(free, need);
        if (places >= wanted) {
            forecast.available_at = ends_at;
            return forecast;
        }
    }
    return forecast;
}

} // namespace papayafall::jobs
