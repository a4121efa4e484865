#include "papayafall/core/jobs/board/job_board.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/jobs/controllers/place_controller.hpp"
#include "papayafall/core/values/stable_hash.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace papayafall::jobs {

namespace {

/// Between the name of the zone and the number in the id of a cell.
constexpr char cell_separator = '/';

/// Compares the index of places with the sections that it is derived from.
void check_place_index(const job_board& board)
{
    std::map<service_name, service_capacity> sums;
    std::size_t indexed = 0;
    std::size_t ready = 0;
    for (const auto& it : board.sessions) {
        const std::optional<indexed_worker> expected = describe_worker(board, it.key);
        const indexed_worker* found = board.indexed_workers.find(it.key);
        ensure(expected.has_value() == (found != nullptr), "the index holds the usable workers");
        if (!expected) {
            continue;
        }
        ensure(*found == *expected, "the index describes each worker as it is");
        ++indexed;
        sums[expected->service] = changed_by(sums[expected->service], *expected, true);
        if (!expected->ready) {
            continue;
        }
        ++ready;
        ensure(board.free_capacities.contains({.service = expected->service,
                                               .free_cpu_millis = expected->free.cpu_millis,
                                               .worker = it.key}),
               "each ready worker is found by its free capacity");
    }
    ensure(indexed == board.indexed_workers.size(), "the index holds no other workers");
    ensure(ready == board.free_capacities.size(), "only ready workers are found by capacity");
    for (const auto& it : board.service_capacities) {
        ensure(sums[it.key] == it.value, "the capacity of a service is the sum of its workers");
    }
}

} // namespace

void job_board::check_invariants() const
{
    ensure(waiting_tasks.size() == waiting_ranks.size(), "each waiting task has one rank");
    ensure(runs.size() == runs_by_worker.size(), "each run is indexed by its worker");
    std::map<job_number, std::uint32_t> running;
    std::map<worker_id, worker_load> used;
    for (const auto& it : runs) {
        ensure(jobs.contains(it.value.task.job), "each run belongs to a job");
        ++running[it.value.task.job];
        worker_load& load = used[it.value.worker];
        load.used = load.used + it.value.need;
        ++load.runs;
    }
    for (const auto& it : jobs) {
        ensure(it.value->active_runs == running[it.key], "the run count of a job matches its runs");
        ensure(!it.value->closing || it.value->active_runs > 0,
               "a closing job has at least one run");
    }
    for (const auto& it : waiting_ranks) {
        const job_state* job = jobs.find(it.key.job);
        ensure(job != nullptr && !(*job)->closing,
               "each waiting task belongs to a job that is not closing");
    }
    ensure(waiting_jobs.size() == waiting_job_ranks.size(), "each waiting job has one rank");
    for (const auto& it : waiting_job_ranks) {
        const job_state* job = jobs.find(it.key);
        ensure(job != nullptr && !(*job)->started && !(*job)->closing,
               "no task of a waiting job was started");
    }
    for (const auto& it : worker_loads) {
        ensure(used[it.key] == it.value, "the load of a worker is the sum of its runs");
    }
    check_place_index(*this);
    for (const auto& it : calls_by_delegation) {
        ensure(calls.contains(it.value), "each delegation belongs to a call");
    }
    ensure(calls.size() == calls_by_job.size(), "each call is indexed by its job");
    for (const auto& it : open_cancellations) {
        ensure(!it.value->calls.empty(), "each open cancellation has a caller");
    }
}

cell_id job_board::cell_of(const worker_fields& it) const
{
    const std::uint64_t number = stable_hash(it.id.text()) % parameters.cells_per_zone;
    return make_cell_id(it.zone, static_cast<std::uint32_t>(number));
}

cell_id make_cell_id(const zone_name& zone, std::uint32_t number)
{
    return cell_id(zone.text() + cell_separator + std::to_string(number));
}

zone_name zone_of(const cell_id& cell)
{
    return zone_name(cell.text().substr(0, cell.text().rfind(cell_separator)));
}

} // namespace papayafall::jobs
