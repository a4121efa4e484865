#include "papayafall/core/jobs/controllers/peer_controller.hpp"

#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"
#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

constexpr duration load_report_period = std::chrono::milliseconds(100);
/// Time for which a link is kept after it was last needed. It exceeds the time after which hosts of
/// other zones claim a cell, because the link tells them whether the holder is alive.
constexpr duration unneeded_link_timeout = std::chrono::seconds(10);
/// Number of dispatchers of other zones that a host is linked to.
constexpr std::size_t max_foreign_dispatchers = 4;

/// Whether a link to the host can be opened or exists.
bool is_reachable(const job_board& board, const host_name& host)
{
    const peer_state* known = board.peers.find(host);
    return board.hosts.contains(host) || (known != nullptr && known->connected);
}

/// Dispatchers of other zones that this host is linked to. A hash spreads the links of all hosts
/// evenly over the dispatchers.
std::vector<host_name> select_foreign_dispatchers(const job_board& board,
                                                  const std::set<host_name>& dispatchers)
{
    std::vector<std::pair<std::uint64_t, host_name>> ranked;
    ranked.reserve(dispatchers.size());
    for (const host_name& it : dispatchers) {
        ranked.emplace_back(rendezvous_weight(it, board.self.host.text()), it);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<host_name> selected;
    for (const auto& [weight, host] : ranked) {
        if (selected.size() == max_foreign_dispatchers) {
            break;
        }
        selected.push_back(host);
    }
    return selected;
}

/// Hosts that this host needs a link to.
std::set<host_name> needed_peers(const job_board& board, time_point now)
{
    std::set<host_name> needed;
    std::set<host_name> foreign_dispatchers;
    for (const auto& it : board.stored_claims) {
        const host_name& holder = it.value.claim.holder;
        if (!is_reachable(board, holder)) {
            continue;
        }
        const bool own = zone_of(it.key) == board.self.zone || board.held_cells.contains(it.key);
        (own ? needed : foreign_dispatchers).insert(holder);
    }
    for (const auto& it : board.held_cells) {
        const bool handing_over = it.value.release_deadline != no_deadline;
        if (handing_over && now < it.value.release_deadline) {
            needed.insert(it.value.previous_holder);
            needed.insert(it.value.next_holder);
        }
    }
    for (const host_name& it : select_foreign_dispatchers(board, foreign_dispatchers)) {
        needed.insert(it);
    }
    needed.erase(host_name());
    needed.erase(board.self.host);
    return needed;
}

} // namespace

load_report own_load(const job_board& board)
{
    load_report load;
    bool holds_cells = false;
    for (const auto& it : board.held_cells) {
        holds_cells = holds_cells || it.value.phase == cell_phase::held;
    }
    for (const auto& it : board.sessions) {
        const worker* entry = current_entry(board, it.key, it.value);
        if (entry == nullptr || it.value.phase != session_phase::ready ||
            !accepts_new_jobs(board, **entry)) {
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
        if (board.peers.contains(it->entry.host)) {
            board.outbox.post(connect_peer{it->entry});
        }
    }
    if (std::holds_alternative<claim_listed>(incoming)) {
        review_links(board, now.steady);
    }
    if (const auto* it = std::get_if<peer_connected>(&incoming)) {
        peers_.put(it->host, {.incarnation = it->incarnation,
                              .connected = true,
                              .changed_at = now.steady,
                              .keep_until = now.steady + unneeded_link_timeout});
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
            board.raised.post(delegation_answered{it->origin.delegation, it->outcome, it->refusal});
        } else {
            board.outbox.post(answer_delegation{it->origin, it->outcome, it->refusal});
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
    review_links(board, now.steady);
}

void peer_controller::review_links(job_board& board, time_point now)
{
    for (const host_name& it : needed_peers(board, now)) {
        const peer_state* known = board.peers.find(it);
        if (known == nullptr) {
            if (const host_entry* entry = board.hosts.find(it)) {
                board.outbox.post(connect_peer{*entry});
            }
        }
        peer_state state = known == nullptr ? peer_state{.changed_at = now} : *known;
        state.keep_until = now + unneeded_link_timeout;
        peers_.put(it, state);
    }
    close_unneeded_links(board, now);
}

void peer_controller::close_unneeded_links(job_board& board, time_point now)
{
    std::set<host_name> unneeded;
    for (const auto& it : board.peers) {
        if (now >= it.value.keep_until) {
            unneeded.insert(it.key);
        }
    }
    if (unneeded.empty()) {
        return;
    }
    for (const auto& it : board.calls) {
        unneeded.erase(it.value->dispatcher);
    }
    for (const host_name& it : unneeded) {
        peers_.erase(it);
        board.outbox.post(disconnect_peer{it});
        board.outbox.post(log_decision{"peer_forgotten", it.text(), {}});
    }
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
