#include "papayafall/core/jobs/controllers/cell_controller.hpp"

#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

constexpr duration review_period = milliseconds(100);
/// Time that each host in the order of claimants gives those before it.
constexpr duration claim_stagger = milliseconds(300);
/// Time that hosts of other zones give those of the cell's own zone. It is longer than the workers
/// of a zone that is cut off stay listed, since those could not be reached either.
constexpr duration foreign_delay = milliseconds(6000);
/// Time that a host of the cell's zone lives before it asks a foreign holder for the cell.
constexpr duration return_delay = milliseconds(1000);
/// Time after which a claim without an answer is sent again.
constexpr duration claim_timeout = milliseconds(1500);
/// Time that a former holder has for the runs on workers that it releases.
constexpr duration release_time = milliseconds(1500);
/// Time after which a leaving host gives up cells that nobody claimed.
constexpr duration unclaimed_time = milliseconds(1500);

bool is_linked(const job_board& board, const cell_claim& claim)
{
    const peer_state* peer = board.peers.find(claim.holder);
    return peer != nullptr && peer->connected && peer->incarnation == claim.incarnation;
}

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

/// Where this host stands among those that may claim a cell.
struct claim_turn {
    std::size_t position = 0;
    bool foreign = false; ///< hosts of the cell's zone go first

    auto operator<=>(const claim_turn&) const = default;
};

claim_turn turn_of(const job_board& board, const cell_id& cell, const zone_name& zone)
{
    const bool own_zone = zone == board.self.zone;
    const std::uint64_t weight = rendezvous_weight(board.self.host, cell.text());
    claim_turn turn;
    for (const auto& it : board.hosts) {
        const host_entry& entry = it.value;
        if (entry.host == board.self.host || entry.leaving) {
            continue;
        }
        if (entry.zone == zone && !own_zone) {
            turn.foreign = true;
        }
        if ((entry.zone == zone) == own_zone &&
            rendezvous_weight(entry.host, cell.text()) > weight) {
            ++turn.position;
        }
    }
    return turn;
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
    : cells_(board.cells.claim()), pending_(board.pending_claims.claim()),
      review_due_(board.cell_review_due.claim())
{
}

void cell_controller::on_event(job_board& board, const job_event& incoming,
                               const clock_reading& now)
{
    if (const auto* it = std::get_if<claim_listed>(&incoming)) {
        seen_claim(board, it->cell, it->claim, now.steady);
    }
    if (const auto* it = std::get_if<claim_answered>(&incoming)) {
        if (it->result == claim_result::granted) {
            granted(board, it->cell, it->revision, now.steady);
        } else if (it->result == claim_result::conflict) {
            pending_.erase(it->cell);
        }
    }
    if (const auto* it = std::get_if<start_answered>(&incoming)) {
        if (it->result == start_result::fenced) {
            fenced(board, it->at, {});
        }
    }
    if (const auto* it = std::get_if<report_failed>(&incoming)) {
        if (it->reason == call_failure::fenced) {
            fenced(board, it->at, it->token);
        }
    }
}

void cell_controller::on_tick(job_board& board, const clock_reading& now)
{
    if (now.steady < *board.cell_review_due) {
        return;
    }
    review_due_.put(now.steady + review_period);
    finish_release(board, now.steady);
    if (board.lifecycle->leaving) {
        release_all(board, now.steady);
        return;
    }
    if (!board.lifecycle->store_reachable) {
        return;
    }
    for (const zone_name& zone : board.self.zones) {
        for (std::uint32_t n = 0; n < board.parameters.cells_per_zone; ++n) {
            review(board, cell_id(zone.text() + "/" + std::to_string(n)), zone, now.steady);
        }
    }
}

void cell_controller::review(job_board& board, const cell_id& cell, const zone_name& zone,
                             time_point now)
{
    if (const pending_claim* sent = board.pending_claims.find(cell);
        sent != nullptr && now < sent->sent_at + claim_timeout) {
        return;
    }
    const claim_state* known = board.claims.find(cell);
    const held_cell* held = board.cells.find(cell);
    if (held != nullptr) {
        // The store dropped the claim with its lease; the right to the workers is still this
        // host's.
        if (held->phase == cell_phase::held && known != nullptr && !known->listed) {
            claim(board, cell, known, now);
        }
        return;
    }
    if (known != nullptr && known->listed && known->claim.holder == board.self.host &&
        known->claim.incarnation != board.self.incarnation) {
        claim(board, cell, known, now);
        return;
    }
    const claim_turn turn = turn_of(board, cell, zone);
    time_point since = board.lifecycle->store_back_at;
    bool leaving = false;
    if (known != nullptr) {
        since = std::max(since, known->changed_at);
        if (is_alive(board, known->claim)) {
            leaving = is_leaving(board, known->claim.holder);
            const host_entry* holder = board.hosts.find(known->claim.holder);
            const bool comes_home = zone == board.self.zone && holder != nullptr &&
                                    holder->zone != zone && now >= since + return_delay;
            if (!leaving && !comes_home) {
                return;
            }
        }
    }
    const bool own_zone = zone == board.self.zone;
    if (!own_zone && (turn.foreign || !has_workers(board, cell))) {
        return;
    }
    const duration delay = claim_stagger * static_cast<std::int64_t>(turn.position) +
                           (own_zone || leaving ? duration{} : foreign_delay);
    if (now >= since + delay) {
        claim(board, cell, known, now);
    }
}

void cell_controller::claim(job_board& board, const cell_id& cell, const claim_state* known,
                            time_point now)
{
    const bool listed = known != nullptr && known->listed;
    const bool gentle = known != nullptr && known->claim.holder != board.self.host &&
                        is_linked(board, known->claim);
    pending_.put(cell, {.sent_at = now, .former = gentle ? known->claim.holder : host_name()});
    board.outbox.post(claim_cell{cell, listed ? known->claim.revision : store_revision()});
    board.outbox.post(log_decision{
        "cell_claimed",
        cell.text(),
        {{"former", known == nullptr ? "" : known->claim.holder.text()},
         {"revision", std::to_string(known == nullptr ? 0 : known->claim.revision.value())},
         {"listed", listed ? "1" : "0"}}});
}

void cell_controller::granted(job_board& board, const cell_id& cell, store_revision revision,
                              time_point now)
{
    const fencing_token token(revision.value());
    const held_cell* held = board.cells.find(cell);
    if (held != nullptr && held->token >= token) {
        return;
    }
    held_cell next{.token = token};
    if (const pending_claim* sent = board.pending_claims.find(cell)) {
        next.former = sent->former;
        next.release_by = now + release_time;
    }
    pending_.erase(cell);
    cells_.put(cell, next);
    board.raised.post(cell_acquired{cell});
    board.outbox.post(
        log_decision{"cell_held", cell.text(), {{"token", std::to_string(token.value())}}});
}

void cell_controller::seen_claim(job_board& board, const cell_id& cell, const cell_claim& claim,
                                 time_point now)
{
    if (claim.holder == board.self.host) {
        if (claim.incarnation == board.self.incarnation) {
            granted(board, cell, claim.revision, now);
        }
        return;
    }
    const held_cell* held = board.cells.find(cell);
    if (held == nullptr || held->phase != cell_phase::held ||
        held->token.value() >= claim.revision.value()) {
        return;
    }
    if (!is_linked(board, claim)) {
        drop(board, cell, "claimed_by_other");
        return;
    }
    held_cell next = *held;
    next.phase = cell_phase::releasing;
    next.heir = claim.holder;
    next.release_by = now + release_time;
    cells_.put(cell, next);
    board.outbox.post(log_decision{"cell_releasing", cell.text(), {{"heir", claim.holder.text()}}});
}

void cell_controller::fenced(job_board& board, const worker_id& at, fencing_token token)
{
    const worker_session* session = board.sessions.find(at);
    if (session == nullptr || (token.value() != 0 && session->token != token)) {
        return;
    }
    const held_cell* held = board.cells.find(session->cell);
    if (held != nullptr && held->phase == cell_phase::held && held->token == session->token) {
        drop(board, cell_id(session->cell), "fenced");
    }
}

void cell_controller::drop(job_board& board, const cell_id& cell, const char* reason)
{
    cells_.erase(cell);
    board.raised.post(cell_lost{cell});
    board.outbox.post(log_decision{"cell_lost", cell.text(), {{"reason", reason}}});
}

void cell_controller::release_all(job_board& board, time_point now)
{
    if (!board.jobs.empty() || now < board.lifecycle->changed_at + unclaimed_time) {
        return;
    }
    std::vector<std::pair<cell_id, fencing_token>> held;
    for (const auto& it : board.cells) {
        if (it.value.phase == cell_phase::held) {
            held.emplace_back(it.key, it.value.token);
        }
    }
    for (const auto& [cell, token] : held) {
        board.outbox.post(release_cell{cell, store_revision(token.value())});
        drop(board, cell, "leaving");
    }
}

void cell_controller::finish_release(job_board& board, time_point now)
{
    std::vector<cell_id> over;
    for (const auto& it : board.cells) {
        if (it.value.phase == cell_phase::releasing && now >= it.value.release_by) {
            over.push_back(it.key);
        }
    }
    for (const cell_id& it : over) {
        drop(board, it, "released");
    }
}

} // namespace papayafall::jobs
