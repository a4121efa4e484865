#include "papayafall/core/jobs/controllers/cell_controller.hpp"

#include "zone_claim_order.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

constexpr duration cell_review_period = milliseconds(100);
/// Delay of a claim for each host that comes earlier in the order of claimants.
constexpr duration claim_stagger = milliseconds(300);
/// Additional delay for hosts of other zones. It is longer than the workers of a partitioned zone
/// stay listed, because hosts outside that zone could not reach them either.
constexpr duration foreign_zone_claim_delay = milliseconds(6000);
/// Further delay for hosts of other zones that had no link to the holder, and so cannot tell
/// whether it is only partitioned from the store.
constexpr duration unlinked_claim_delay = milliseconds(4000);
/// Time after the last change of a claim, or after the store was reached, before a better placed
/// host claims the cell from its live holder.
constexpr duration handover_request_delay = milliseconds(1000);
/// Time within which the holder of a listed claim has to be listed itself, and hosts that start
/// together have to list themselves.
constexpr duration holder_listing_grace = milliseconds(300);
/// Time after which a claim without an answer is sent again.
constexpr duration claim_timeout = milliseconds(1500);
/// Time for which the workers are followed after a claim was last intended.
constexpr duration worker_follow_time = milliseconds(5000);
/// Time that a previous holder has to end the runs on the workers that it releases.
constexpr duration release_timeout = milliseconds(2200);
/// Time after which a leaving host releases the cells that no other host has claimed.
constexpr duration unclaimed_release_delay = milliseconds(1500);

/// Whether the holder that made the claim has a link to this host.
bool is_linked(const job_board& board, const cell_claim& claim)
{
    const peer_state* peer = board.peers.find(claim.holder);
    return peer != nullptr && peer->connected && peer->incarnation == claim.incarnation;
}

/// Whether the holder that made the claim is linked or listed in the store.
bool is_alive(const job_board& board, const cell_claim& claim)
{
    if (claim.holder == board.self.host) {
        return claim.incarnation == board.self.incarnation;
    }
    const host_entry* entry = board.hosts.find(claim.holder);
    return is_linked(board, claim) || (entry != nullptr && entry->incarnation == claim.incarnation);
}

bool is_leaving(const job_board& board, const host_name& host)
{
    const host_entry* entry = board.hosts.find(host);
    return entry != nullptr && entry->leaving;
}

/// Number of cells of a zone that a host holds, by the claims in the store.
std::size_t count_claimed_cells(const job_board& board, const host_name& host,
                                const zone_name& zone)
{
    std::size_t n = 0;
    for (std::uint32_t number = 0; number < board.parameters.cells_per_zone; ++number) {
        const claim_state* known = board.stored_claims.find(make_cell_id(zone, number));
        n += known != nullptr && known->listed && known->claim.holder == host ? 1 : 0;
    }
    return n;
}

/// Whether this host is better placed than the live holder of a cell in this host's zone: the
/// holder is of another zone or much weaker, or the cells of the zone are to move between the two.
/// Several sharing hosts balance their cells; otherwise one host gathers them all.
bool should_request_handover(const job_board& board, const host_entry& holder,
                             const zone_claim_order& order, std::uint32_t number)
{
    const zone_name& zone = board.self.zone;
    if (holder.zone != zone) {
        return true;
    }
    const bool preferred = order.preferred_holder(number) == board.self.host;
    if (preferred && holder.cpu_millis > 0 &&
        board.self.cpu_millis >= stronger_host_cpu_ratio * holder.cpu_millis) {
        return true;
    }
    const std::size_t own_cells = count_claimed_cells(board, board.self.host, zone);
    const std::size_t holder_cells = count_claimed_cells(board, holder.host, zone);
    if (order.sharing_count > 1) {
        return preferred && holder_cells >= own_cells + 2;
    }
    return own_cells > holder_cells || (own_cells == holder_cells && own_cells > 0 && preferred);
}

/// Whether a host of this zone holds its share of the zone's cells, or claims the last of it.
bool has_share(const job_board& board, const host_name& host, const zone_claim_order& order)
{
    const zone_name& zone = board.self.zone;
    const std::size_t share =
        (board.parameters.cells_per_zone + order.wanted_count - 1) / order.wanted_count;
    std::size_t n = count_claimed_cells(board, host, zone);
    if (host == board.self.host) {
        n += static_cast<std::size_t>(
            std::count_if(board.pending_claims.begin(), board.pending_claims.end(),
                          [&](const auto& it) { return zone_of(it.key) == zone; }));
    }
    return n >= share;
}

bool has_workers(const job_board& board, const cell_id& cell)
{
    for (const auto& it : board.workers) {
        if (board.cell_of(*it.value) == cell) {
            return true;
        }
    }
    return false;
}

} // namespace

cell_controller::cell_controller(job_board& board)
    : held_cells_(board.held_cells.claim()), pending_claims_(board.pending_claims.claim()),
      workers_needed_until_(board.workers_needed_until.claim()),
      review_due_(board.cell_review_due.claim())
{
}

void cell_controller::on_event(job_board& board, const job_event& incoming,
                               const clock_reading& now)
{
    if (const auto* it = std::get_if<claim_listed>(&incoming)) {
        on_claim_listed(board, it->cell, it->claim, now.steady);
    }
    if (const auto* it = std::get_if<claim_answered>(&incoming)) {
        if (it->result == claim_result::granted) {
            on_claim_granted(board, it->cell, it->revision, now.steady);
        } else if (it->result == claim_result::conflict) {
            pending_claims_.erase(it->cell);
        }
    }
    if (std::holds_alternative<workers_followed>(incoming)) {
        review_due_.put(now.steady);
    }
    if (const auto* it = std::get_if<start_answered>(&incoming)) {
        if (it->result == start_result::fenced) {
            on_fenced(board, it->worker, {});
        }
    }
    if (const auto* it = std::get_if<report_failed>(&incoming)) {
        if (it->reason == call_failure::fenced) {
            on_fenced(board, it->worker, it->token);
        }
    }
}

void cell_controller::on_tick(job_board& board, const clock_reading& now)
{
    if (now.steady < *board.cell_review_due) {
        return;
    }
    review_due_.put(now.steady + cell_review_period);
    drop_released_cells(board, now.steady);
    if (board.lifecycle->leaving) {
        release_held_cells(board, now.steady);
        return;
    }
    if (!board.lifecycle->store_reachable) {
        return;
    }
    for (const zone_name& zone : board.self.platform_zones) {
        for (std::uint32_t n = 0; n < board.parameters.cells_per_zone; ++n) {
            review_cell(board, zone, n, now.steady);
        }
    }
}

void cell_controller::review_cell(job_board& board, const zone_name& zone, std::uint32_t number,
                                  time_point now)
{
    const cell_id cell = make_cell_id(zone, number);
    if (const pending_claim* sent = board.pending_claims.find(cell);
        sent != nullptr && now < sent->sent_at + claim_timeout) {
        return;
    }
    const claim_state* known = board.stored_claims.find(cell);
    const held_cell* held = board.held_cells.find(cell);
    if (held != nullptr) {
        // The claim lapsed with its lease in the store, but the right to the workers stays with
        // this host: renew it.
        if (held->phase == cell_phase::held && known != nullptr && !known->listed) {
            send_claim(board, cell, known, now);
        }
        return;
    }
    if (known != nullptr && known->listed && known->claim.holder == board.self.host &&
        known->claim.incarnation != board.self.incarnation) {
        send_claim(board, cell, known, now);
        return;
    }
    const bool own_zone = zone == board.self.zone;
    // Hosts that started at the same time may not be listed before.
    const time_point listing_complete_at = board.lifecycle->store_reached_at + holder_listing_grace;
    time_point delay_start = board.lifecycle->store_reached_at;
    bool holder_leaving = false;
    if (known != nullptr) {
        delay_start = std::max(delay_start, known->changed_at);
        if (is_alive(board, known->claim)) {
            holder_leaving = is_leaving(board, known->claim.holder);
            const host_entry* holder = board.hosts.find(known->claim.holder);
            const bool requests_handover =
                own_zone && holder != nullptr && now >= delay_start + handover_request_delay &&
                should_request_handover(board, *holder, make_claim_order(board, zone), number);
            if (!holder_leaving && !requests_handover) {
                return;
            }
        } else if (known->listed) {
            delay_start += holder_listing_grace;
        } else if (known->claim.holder != board.self.host) {
            // After a common outage the former holder may be about to take its cell back.
            delay_start = std::max(delay_start, listing_complete_at);
        }
    }
    const zone_claim_order order = make_claim_order(board, zone);
    const bool starting = own_zone && now < listing_complete_at + claim_stagger;
    if (starting && (order.is_spare(number) || has_share(board, board.self.host, order))) {
        return;
    }
    if (order.has_hosts_in_zone || (!own_zone && !has_workers(board, cell))) {
        return;
    }
    const bool goes_first = starting && has_share(board, order.preferred_holder(number), order);
    const auto position =
        goes_first ? 0 : static_cast<std::int64_t>(order.claim_position(board.self.host, number));
    if (holder_leaving && known->listed && position > 0) {
        return; // the first one claims now; if it does not, the holder releases the cell
    }
    duration delay = claim_stagger * position;
    if (!own_zone && !holder_leaving) {
        const bool was_linked = known == nullptr || board.peers.contains(known->claim.holder);
        delay += foreign_zone_claim_delay + (was_linked ? duration{} : unlinked_claim_delay);
    }
    if (now >= delay_start + delay) {
        send_claim(board, cell, known, now);
    }
}

void cell_controller::send_claim(job_board& board, const cell_id& cell, const claim_state* known,
                                 time_point now)
{
    workers_needed_until_.put(now + worker_follow_time);
    if (*board.view_of_workers != worker_view::current) {
        return;
    }
    const bool listed = known != nullptr && known->listed;
    const bool handover = known != nullptr && known->claim.holder != board.self.host &&
                          is_linked(board, known->claim);
    pending_claims_.put(
        cell, {.sent_at = now, .previous_holder = handover ? known->claim.holder : host_name()});
    board.outbox.post(claim_cell{cell, listed ? known->claim.revision : store_revision()});
    board.outbox.post(log_decision{
        "cell_claimed",
        cell.text(),
        {{"former", known == nullptr ? "" : known->claim.holder.text()},
         {"revision", std::to_string(known == nullptr ? 0 : known->claim.revision.value())},
         {"listed", listed ? "1" : "0"}}});
}

void cell_controller::on_claim_granted(job_board& board, const cell_id& cell,
                                       store_revision revision, time_point now)
{
    const fencing_token token(revision.value());
    const held_cell* held = board.held_cells.find(cell);
    if (held != nullptr && held->token >= token) {
        return;
    }
    held_cell next{.token = token};
    if (const pending_claim* sent = board.pending_claims.find(cell)) {
        next.previous_holder = sent->previous_holder;
        next.release_deadline = now + release_timeout;
    }
    pending_claims_.erase(cell);
    held_cells_.put(cell, next);
    board.raised.post(cell_acquired{cell});
    board.outbox.post(
        log_decision{"cell_held", cell.text(), {{"token", std::to_string(token.value())}}});
}

void cell_controller::on_claim_listed(job_board& board, const cell_id& cell,
                                      const cell_claim& claim, time_point now)
{
    if (claim.holder == board.self.host) {
        if (claim.incarnation == board.self.incarnation) {
            on_claim_granted(board, cell, claim.revision, now);
        }
        return;
    }
    const held_cell* held = board.held_cells.find(cell);
    if (held == nullptr || held->phase != cell_phase::held ||
        held->token.value() >= claim.revision.value()) {
        return;
    }
    if (!is_alive(board, claim)) {
        drop_cell(board, cell, "claimed_by_other");
        return;
    }
    held_cell next = *held;
    next.phase = cell_phase::releasing;
    next.next_holder = claim.holder;
    next.release_deadline = now + release_timeout;
    held_cells_.put(cell, next);
    board.outbox.post(log_decision{"cell_releasing", cell.text(), {{"heir", claim.holder.text()}}});
}

void cell_controller::on_fenced(job_board& board, const worker_id& id, fencing_token token)
{
    const worker_session* session = board.sessions.find(id);
    if (session == nullptr || (token.value() != 0 && session->token != token)) {
        return;
    }
    const held_cell* held = board.held_cells.find(session->cell);
    if (held != nullptr && held->phase == cell_phase::held && held->token == session->token) {
        drop_cell(board, cell_id(session->cell), "fenced");
    }
}

void cell_controller::drop_cell(job_board& board, const cell_id& cell, const char* reason)
{
    held_cells_.erase(cell);
    board.raised.post(cell_lost{cell});
    board.outbox.post(log_decision{"cell_lost", cell.text(), {{"reason", reason}}});
}

void cell_controller::release_held_cells(job_board& board, time_point now)
{
    if (!board.jobs.empty() || now < board.lifecycle->leaving_since + unclaimed_release_delay) {
        return;
    }
    std::vector<std::pair<cell_id, fencing_token>> held;
    for (const auto& it : board.held_cells) {
        if (it.value.phase == cell_phase::held) {
            held.emplace_back(it.key, it.value.token);
        }
    }
    for (const auto& [cell, token] : held) {
        board.outbox.post(release_cell{cell, store_revision(token.value())});
        drop_cell(board, cell, "leaving");
    }
}

void cell_controller::drop_released_cells(job_board& board, time_point now)
{
    std::vector<cell_id> expired;
    for (const auto& it : board.held_cells) {
        if (it.value.phase == cell_phase::releasing && now >= it.value.release_deadline) {
            expired.push_back(it.key);
        }
    }
    for (const cell_id& it : expired) {
        drop_cell(board, it, "released");
    }
}

} // namespace papayafall::jobs
