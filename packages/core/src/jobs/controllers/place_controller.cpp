#include "papayafall/core/jobs/controllers/place_controller.hpp"

#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafall::jobs {

namespace {

constexpr duration room_log_period = std::chrono::seconds(5);

free_capacity_key key_of(const worker_id& id, const indexed_worker& it)
{
    return {.service = it.service, .free_cpu_millis = it.free.cpu_millis, .worker = id};
}

} // namespace

const worker* usable_entry(const job_board& board, const worker_id& id,
                           const worker_session& session)
{
    const worker* entry = current_entry(board, id, session);
    return entry == nullptr || (*entry)->draining ? nullptr : entry;
}

std::optional<indexed_worker> describe_worker(const job_board& board, const worker_id& id)
{
    const worker_session* session = board.sessions.find(id);
    if (session == nullptr) {
        return std::nullopt;
    }
    const worker* entry = usable_entry(board, id, *session);
    const held_cell* held = board.held_cells.find(session->cell);
    if (entry == nullptr || held == nullptr) {
        return std::nullopt;
    }
    const worker_load* load = board.worker_loads.find(id);
    const resources capacity = (*entry)->capacity;
    return indexed_worker{.service = (*entry)->service,
                          .capacity = capacity,
                          .free = load == nullptr ? capacity : capacity - load->used,
                          .ready = session->phase == session_phase::ready,
                          .takes_jobs =
                              held->phase == cell_phase::held && accepts_new_jobs(board, **entry)};
}

place_controller::place_controller(job_board& board)
    : changed_sessions_(board.sessions.follow()), changed_entries_(board.workers.follow()),
      changed_loads_(board.worker_loads.follow()), changed_cells_(board.held_cells.follow()),
      changed_evacuations_(board.evacuations.follow()),
      indexed_workers_(board.indexed_workers.claim()),
      free_capacities_(board.free_capacities.claim()),
      service_capacities_(board.service_capacities.claim()),
      room_log_due_(board.room_log_due.claim())
{
}

void place_controller::on_event(job_board& board, const job_event& /*incoming*/,
                                const clock_reading& /*now*/)
{
    refresh(board);
}

void place_controller::on_tick(job_board& board, const clock_reading& now)
{
    refresh(board);
    if (now.steady >= *board.room_log_due) {
        room_log_due_.put(now.steady + room_log_period);
        log_room(board);
    }
}

void place_controller::refresh(job_board& board)
{
    std::set<worker_id> changed;
    for (const std::vector<worker_id>& it :
         {changed_sessions_.take(), changed_entries_.take(), changed_loads_.take()}) {
        changed.insert(it.begin(), it.end());
    }
    const bool cells_changed = !changed_cells_.take().empty();
    const bool evacuations_changed = !changed_evacuations_.take().empty();
    if (cells_changed || evacuations_changed) {
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

void place_controller::log_room(job_board& board)
{
    std::map<service_name, double> unusable;
    for (const auto& it : board.free_capacities) {
        unusable[it.key.service] +=
            unusable_cpu_millis(it.key.free_cpu_millis, *board.recent_demands);
    }
    for (const auto& it : board.service_capacities) {
        board.outbox.post(
            log_decision{"room_left",
                         it.key.text(),
                         {{"workers", std::to_string(it.value.workers)},
                          {"total", std::to_string(it.value.total_cpu_millis)},
                          {"free", std::to_string(it.value.free_cpu_millis)},
                          {"unusable", std::to_string(std::llround(unusable[it.key]))}}});
    }
}

} // namespace papayafall::jobs
