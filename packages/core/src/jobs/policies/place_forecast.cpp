#include "papayafall/core/jobs/policies/place_forecast.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <map>
#include <tuple>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Number of runs whose ends are considered.
constexpr std::size_t max_considered_runs = 256;
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

/// Chooses the workers that count for a forecast.
class worker_filter {
  public:
    worker_filter(const job_board& board, const service_name& service, time_point now)
        : board_(board), service_(service), now_(now),
          skips_avoided_(has_healthy_worker(board, service, now))
    {
    }

    bool operator()(const worker_id& id) const
    {
        const indexed_worker* indexed = board_.indexed_workers.find(id);
        return indexed != nullptr && indexed->takes_jobs &&
               !(skips_avoided_ && is_avoided(board_, id, now_)) && !board_.trials.contains(id) &&
               id != *board_.reserved_worker;
    }

    /// The worker's part of the index if it can be given runs of the service, or nullptr.
    const indexed_worker* find(const worker_id& id) const
    {
        const indexed_worker* found = board_.indexed_workers.find(id);
        const bool usable =
            found != nullptr && found->ready && found->service == service_ && (*this)(id);
        return usable ? found : nullptr;
    }

  private:
    const job_board& board_;
    const service_name& service_;
    time_point now_;
    bool skips_avoided_;
};

struct run_end {
    time_point at;
    const run_state* run = nullptr;
};

/// Ends of the runs that end first, in order.
std::vector<run_end> next_run_ends(const job_board& board, time_point now)
{
    std::vector<run_end> ends;
    for (auto it = board.runs.earliest();
         it != board.runs.latest_end() && ends.size() < max_considered_runs; ++it) {
        ends.push_back({expected_end_of(it->value, board.parameters, now), &it->value});
    }
    std::sort(ends.begin(), ends.end(), [](const run_end& a, const run_end& b) {
        return std::tie(a.at, a.run->worker) < std::tie(b.at, b.run->worker);
    });
    return ends;
}

/// Adds up the room that comes free on each worker as its runs end.
class freed_room {
  public:
    /// Places that the worker has more than before the run ended.
    std::uint32_t places_added(const indexed_worker& indexed, const run_state& run,
                               const resources& need)
    {
        resources& free = free_later_.emplace(run.worker, indexed.free).first->second;
        const std::uint32_t before = places_within(free, need);
        free = free + run.need;
        return places_within(free, need) - before;
    }

  private:
    std::map<worker_id, resources> free_later_;
};

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
    const worker_filter workers(board, service, now);
    std::uint64_t places = 0;
    for (auto it = board.free_capacities.lower_bound(
             {.service = service, .free_cpu_millis = need.cpu_millis});
         it != board.free_capacities.end() && it->key.service == service && places < wanted; ++it) {
        if (workers(it->key.worker)) {
            places += places_within(it->value, need);
        }
    }
    place_forecast forecast{
        .free_now = static_cast<std::uint32_t>(std::min<std::uint64_t>(places, wanted))};
    if (places >= wanted) {
        forecast.available_at = now;
        return forecast;
    }
    freed_room freed;
    for (const run_end& it : next_run_ends(board, now)) {
        const indexed_worker* indexed = workers.find(it.run->worker);
        if (indexed == nullptr) {
            continue;
        }
        places += freed.places_added(*indexed, *it.run, need);
        if (places >= wanted) {
            forecast.available_at = it.at;
            break;
        }
    }
    return forecast;
}

std::optional<next_place> soonest_place(const job_board& board, const service_name& service,
                                        const resources& need, time_point now)
{
    const worker_filter workers(board, service, now);
    freed_room freed;
    for (const run_end& it : next_run_ends(board, now)) {
        const indexed_worker* indexed = workers.find(it.run->worker);
        if (indexed != nullptr && freed.places_added(*indexed, *it.run, need) > 0) {
            return next_place{it.run->worker, it.at};
        }
    }
    return std::nullopt;
}

} // namespace papayafall::jobs
