#include "papayafall/core/jobs/controllers/place_controller.hpp"

#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <optional>
#include <set>
#include <vector>

namespace papayafall::jobs {

namespace {

free_capacity_key key_of(const worker_id& id, const indexed_worker& it)
{
    return {.service = it.service, .free_cpu_millis = it.free.cpu_millis, .worker = id};
}

} // namespace

std::optional<indexed_worker> describe_worker(const job_board& board, const worker_id& id)
{
    const worker_session* session = board.sessions.find(id);
    if (session == nullptr) {
        return std::nullopt;
    }
    const worker* entry = current_entry(board, id, *session);
    const held_cell* held = board.held_cells.find(session->cell);
    if (entry == nullptr || held == nullptr || (*entry)->draining) {
        return std::nullopt;
    }
    const worker_load* load = board.worker_loads.find(id);
    const resources capacity = (*entry)->capacity;
    return indexed_worker{.service = (*entry)->service,
                          .capacity = capacity,
                          .free = load == nullptr ? capacity : capacity - load->used,
                          .ready = session->phase == session_phase::ready,
                          .takes_jobs = held->phase == cell_phase::held};
}

place_controller::place_controller(job_board& board)
    : changed_sessions_(board.sessions.follow()), changed_entries_(board.workers.follow()),
      changed_loads_(board.worker_loads.follow()), changed_cells_(board.held_cells.follow()),
      indexed_workers_(board.indexed_workers.claim()),
      free_capacities_(board.free_capacities.claim()),
      service_capacities_(board.service_capacities.claim())
{
}

void place_controller::on_event(job_board& board, const job_event& /*incoming*/,
                                const clock_reading& /*now*/)
{
    refresh(board);
}

void place_controller::on_tick(job_board& board, const clock_reading& /*now*/)
{
    refresh(board);
}

void place_controller::refresh(job_board& board)
{
    std::set<worker_id> changed;
    for (const std::vector<worker_id>& it :
         {changed_sessions_.take(), changed_entries_.take(), changed_loads_.take()}) {
        changed.insert(it.begin(), it.end());
    }
    if (!changed_cells_.take().empty()) {
        for (const auto& it : board.sessions) {
            changed.insert(it.key);
        }
    }
    for (const worker_id& it : changed) {
        index_worker(board, it);
    }
}

void place_controller::index_worker(job_board& board, const worker_id& id)
{
    const std::optional<indexed_worker> next = describe_worker(board, id);
    if (const indexed_worker* known = board.indexed_workers.find(id)) {
        if (next && *next == *known) {
            return;
        }
        const indexed_worker previous = *known;
        add_to_sums(board, previous, false);
        free_capacities_.erase(key_of(id, previous));
        indexed_workers_.erase(id);
    }
    if (!next) {
        return;
    }
    indexed_workers_.put(id, *next);
    add_to_sums(board, *next, true);
    if (next->ready) {
        free_capacities_.put(key_of(id, *next), next->free);
    }
}

void place_controller::add_to_sums(job_board& board, const indexed_worker& it, bool added)
{
    const service_capacity* known = board.service_capacities.find(it.service);
    const service_capacity next =
        changed_by(known == nullptr ? service_capacity() : *known, it, added);
    if (next == service_capacity()) {
        service_capacities_.erase(it.service);
        return;
    }
    service_capacities_.put(it.service, next);
}

} // namespace papayafall::jobs
