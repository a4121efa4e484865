#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include <utility>
#include <vector>

namespace papayafall::jobs {

void session_controller::open_cell_sessions(job_board& board, const cell_id& cell, time_point now)
{
    const held_cell* held = board.held_cells.find(cell);
    if (held == nullptr) {
        return;
    }
    for (const auto& it : board.workers) {
        if (board.cell_of(*it.value) != cell) {
            continue;
        }
        if (const worker_session* known = board.sessions.find(it.key)) {
            worker_session session = *known;
            session.token = held->token;
            sessions_.put(it.key, std::move(session));
            continue;
        }
        open_session(board, *it.value, *held, now);
    }
}

void session_controller::open_session(job_board& board, const worker_fields& entry,
                                      const held_cell& held, time_point now)
{
    worker_session session{
        .cell = board.cell_of(entry), .address = entry.address, .token = held.token};
    if (!held.previous_holder.empty() && now < held.release_deadline) {
        session.phase = session_phase::awaiting_release;
        session.lease_expired_by = held.release_deadline;
        sessions_.put(entry.id, std::move(session));
        return;
    }
    poll_worker(board, entry.id, std::move(session), now);
}

void session_controller::close_cell_sessions(job_board& board, const cell_id& cell)
{
    std::vector<worker_id> lost;
    for (const auto& it : board.sessions) {
        if (it.value.cell == cell) {
            lost.push_back(it.key);
        }
    }
    for (const worker_id& it : lost) {
        board.raised.post(worker_ownership_lost{it});
        close_session(board, it);
    }
}

void session_controller::close_session(job_board& board, const worker_id& id)
{
    sessions_.erase(id);
    board.outbox.post(close_worker_connections{id});
}

void session_controller::on_previous_holder_lost(job_board& board, const host_name& host,
                                                 time_point now)
{
    std::vector<std::pair<worker_id, worker_session>> waiting;
    for (const auto& it : board.sessions) {
        if (it.value.phase != session_phase::awaiting_release) {
            continue;
        }
        const held_cell* held = board.held_cells.find(it.value.cell);
        if (held != nullptr && held->previous_holder == host) {
            waiting.emplace_back(it.key, it.value);
        }
    }
    for (const auto& [id, session] : waiting) {
        poll_worker(board, id, session, now);
    }
}

bool session_controller::release_idle_worker(job_board& board, const worker_id& id,
                                             const worker_session& session)
{
    const held_cell* held = board.held_cells.find(session.cell);
    if (held == nullptr || held->phase != cell_phase::releasing) {
        return false;
    }
    const peer_state* next_holder = board.peers.find(held->next_holder);
    if (next_holder == nullptr || !next_holder->connected) {
        return false;
    }
    const worker_load* load = board.worker_loads.find(id);
    if (load != nullptr && load->runs > 0) {
        return false;
    }
    board.outbox.post(release_worker{held->next_holder, id});
    close_session(board, id);
    return true;
}

} // namespace papayafall::jobs
