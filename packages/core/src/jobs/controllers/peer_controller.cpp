#include "papayafall/core/jobs/controllers/peer_controller.hpp"

#include <chrono>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

constexpr duration load_report_period = std::chrono::milliseconds(100);
/// Time without a link after which a host that the store does not list is forgotten.
constexpr duration unlisted_peer_timeout = std::chrono::seconds(10);

} // namespace

load_report own_load(const job_board& board)
{
    load_report load;
    bool holds_cells = false;
    for (const auto& it : board.held_cells) {
        holds_cells = holds_cells || it.value.phase == cell_phase::held;
    }
    for (const auto& it : board.sessions) {
        const worker* entry = board.workers.find(it.key);
        if (entry == nullptr || it.value.phase != session_phase::ready || (*entry)->draining) {
            continue;
        }
        const worker_load* used = board.worker_loads.find(it.key);
        const std::int64_t used_cpu_millis = used == nullptr ? 0 : used->used.cpu_millis;
        load.total_cpu_millis += (*entry)->capacity.cpu_millis;
        load.free_cpu_millis += (*entry)->capacity.cpu_millis - used_cpu_millis;
    }
    load.accepting = holds_cells && !board.lifecycle->leaving && load.total_cpu_millis > 0;
    if (load.total_cpu_millis > 0) {
        // The queued work is in microseconds of one core, the total in thousandths of a core.
        load.predicted_wait =
            duration(board.queued_work->microseconds * 1000 / load.total_cpu_millis);
    }
    return load;
}

peer_controller::peer_controller(job_board& board)
    : peers_(board.peers.claim()), load_report_due_(board.load_report_due.claim()),
      published_load_(board.published_load.claim())
{
}

void peer_controller::on_event(job_board& board, const job_event& incoming,
                               const clock_reading& now)
{
    if (const auto* it = std::get_if<host_listed>(&incoming)) {
        on_host_listed(board, it->entry, now.steady);
    }
    if (const auto* it = std::get_if<peer_connected>(&incoming)) {
        peers_.put(it->host,
                   {.incarnation = it->incarnation, .connected = true, .changed_at = now.steady});
        board.outbox.post(log_decision{"peer_connected", it->host.text(), {}});
    }
    if (const auto* it = std::get_if<peer_lost>(&incoming)) {
        set_connected(board, it->host, false, now.steady);
        board.outbox.post(log_decision{"peer_lost", it->host.text(), {}});
    }
    if (const auto* it = std::get_if<load_reported>(&incoming)) {
        if (const peer_state* known = board.peers.find(it->host)) {
            peer_state state = *known;
            state.load = it->load;
            state.sent_since_report = 0;
            peers_.put(it->host, state);
        }
    }
    if (const auto* it = std::get_if<job_finished>(&incoming)) {
        if (it->origin.link == link_number()) {
            board.raised.post(delegation_answered{it->origin.delegation, it->outcome});
        } else {
            board.outbox.post(answer_delegation{it->origin, it->outcome});
        }
    }
    if (std::holds_alternative<process_resumed>(incoming)) {
        board.outbox.post(close_links{});
    }
    if (const auto* it = std::get_if<job_delegated>(&incoming)) {
        if (const peer_state* known = board.peers.find(it->to)) {
            peer_state state = *known;
            ++state.sent_since_report;
            peers_.put(it->to, state);
        }
    }
}

void peer_controller::on_tick(job_board& board, const clock_reading& now)
{
    if (now.steady < *board.load_report_due) {
        return;
    }
    load_report_due_.put(now.steady + load_report_period);
    const load_report load = own_load(board);
    if (load.accepting || *board.published_load != load) {
        published_load_.put(load);
        board.outbox.post(publish_load{load});
    }
    forget_unlisted_peers(board, now.steady);
}

void peer_controller::forget_unlisted_peers(job_board& board, time_point now)
{
    std::vector<host_name> gone;
    for (const auto& it : board.peers) {
        if (!it.value.connected && !board.hosts.contains(it.key) &&
            now >= it.value.changed_at + unlisted_peer_timeout) {
            gone.push_back(it.key);
        }
    }
    for (const host_name& it : gone) {
        peers_.erase(it);
        board.outbox.post(disconnect_peer{it});
        board.outbox.post(log_decision{"peer_forgotten", it.text(), {}});
    }
}

void peer_controller::on_host_listed(job_board& board, const host_entry& entry, time_point now)
{
    if (entry.host == board.self.host) {
        return;
    }
    if (!board.peers.contains(entry.host)) {
        peers_.put(entry.host, {.changed_at = now});
    }
    board.outbox.post(connect_peer{entry});
}

void peer_controller::set_connected(job_board& board, const host_name& host, bool connected,
                                    time_point now)
{
    const peer_state* known = board.peers.find(host);
    if (known == nullptr) {
        return;
    }
    peer_state state = *known;
    state.connected = connected;
    state.changed_at = now;
    peers_.put(host, state);
}

} // namespace papayafall::jobs
