#include "papayafall/core/jobs/board/job_board.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/values/stable_hash.hpp"

#include <map>
#include <string>

namespace papayafall::jobs {

namespace {

/// Between the name of the zone and the number in the id of a cell.
constexpr char cell_separator = '/';

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
    for (const auto& it : worker_loads) {
        ensure(used[it.key] == it.value, "the load of a worker is the sum of its runs");
    }
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
