#include "papayafall/core/jobs/controllers/cell_controller.hpp"

#include "papayafall/core/policies/rendezvous_hash.hpp"

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

constexpr duration review_period = milliseconds(100);
/// Time that each host in the order of claimants gives those before it.
constexpr duration claim_stagger = milliseconds(300);
/// Time that hosts of other zones give those of the cell's own zone. It is longer than the workers
/// of a zone that is cut off stay listed, since those could not be reached either.
constexpr duration foreign_delay = milliseconds(6000);
/// Time that a better placed host lives before it asks the holder for the cell.
constexpr duration return_delay = milliseconds(1000);
/// Processor time of a host over that of another from which it counts as stronger.
constexpr std::int64_t stronger_factor = 2;
/// Workers from which on the cells of a zone are shared by a further host.
constexpr std::ptrdiff_t workers_per_holder = 64;
/// Time that the holder of a listed claim has to be listed itself.
constexpr duration listing_delay = milliseconds(300);
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

/// A host that may claim cells. Hosts with more processor time go first; a hash orders the others.
struct host_rank {
    std::int64_t cpu_millis = 0;
    std::uint64_t weight = 0;
    host_name host;

    auto operator<=>(const host_rank&) const = default;
};

/// Who should have the cells of a zone.
struct zone_plan {
    std::vector<host_rank> ranks; ///< hosts that may claim, in the order in which they do
    std::size_t sharing = 1;      ///< hosts at the front of it that share the cells
    bool foreign = false;         ///< the zone has hosts of its own, and this is none of them

    auto operator<=>(const zone_plan&) const = default;

    const host_name& preferred(std::uint32_t cell) const { return ranks[cell % sharing].host; }

    /// Hosts that go before `host` for a cell.
    std::size_t position(const host_name& host, std::uint32_t cell) const
    {
        const auto found = std::find_if(ranks.begin(), ranks.end(),
                                        [&](const host_rank& it) { return it.host == host; });
        const auto rank = static_cast<std::size_t>(found - ranks.begin());
        return rank < sharing ? (rank + sharing - cell % sharing) % sharing : rank;
    }
};

/// The more workers a zone has, the more hosts share its cells; much weaker ones are left out.
std::size_t sharing_hosts(const job_board& board, const zone_name& zone,
                          const std::vector<host_rank>& ranks)
{
    const auto workers = std::count_if(board.workers.begin(), board.workers.end(),
                                       [&](const auto& it) { return (*it.value).zone == zone; });
    const auto strong = std::count_if(ranks.begin(), ranks.end(), [&](const host_rank& it) {
        return it.cpu_millis * stronger_factor > ranks.front().cpu_millis;
    });
    const auto wanted = (workers + workers_per_holder - 1) / workers_per_holder;
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, std::min(wanted, strong)));
}

zone_plan plan_of(const job_board& board, const zone_name& zone)
{
    const bool own_zone = zone == board.self.zone;
    zone_plan plan;
    const auto add = [&](const host_name& host, std::int64_t cpu_millis) {
        plan.ranks.push_back({cpu_millis, rendezvous_weight(host, zone.text()), host});
    };
    add(board.self.host, board.self.cpu_millis);
    for (const auto& it : board.hosts) {
        const host_entry& entry = it.value;
        if (entry.host == board.self.host || entry.leaving) {
            continue;
        }
        if ((entry.zone == zone) == own_zone) {
            add(entry.host, entry.cpu_millis);
        } else if (!own_zone) {
            plan.foreign = true;
        }
    }
    std::sort(plan.ranks.begin(), plan.ranks.end(), std::greater<>());
    plan.sharing = sharing_hosts(board, zone, plan.ranks);
    return plan;
}

/// Cells of a zone that a host has, by the claims in the store.
std::size_t cells_of(const job_board& board, const host_name& host, const zone_name& zone)
{
    std::size_t n = 0;
    for (std::uint32_t number = 0; number < board.parameters.cells_per_zone; ++number) {
        const claim_state* known = board.claims.find(cell_named(zone, number));
        n += known != nullptr && known->listed && known->claim.holder == host ? 1 : 0;
    }
    return n;
}

/// Whether this host should ask the living holder of a cell of its zone for it.
bool is_better_placed(const job_board& board, const host_entry& holder, const zone_plan& plan,
                      std::uint32_t number)
{
    const zone_name& zone = board.self.zone;
    if (holder.zone != zone) {
        return true;
    }
    const bool preferred = plan.preferred(number) == board.self.host;
    if (preferred && holder.cpu_millis > 0 &&
        board.self.cpu_millis >= stronger_factor * holder.cpu_millis) {
        return true;
    }
    const std::size_t own = cells_of(board, board.self.host, zone);
    const std::size_t theirs = cells_of(board, holder.host, zone);
    if (plan.sharing > 1) {
        return preferred && theirs >= own + 2;
    }
    return own > theirs || (own == theirs && own > 0 && preferred);
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
            fenced(board, it->worker, {});
        }
    }
    if (const auto* it = std::get_if<report_failed>(&incoming)) {
        if (it->reason == call_failure::fenced) {
            fenced(board, it->worker, it->token);
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
            review(board, zone, n, now.steady);
        }
    }
}

void cell_controller::review(job_board& board, const zone_name& zone, std::uint32_t number,
                             time_point now)
{
    const cell_id cell = cell_named(zone, number);
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
    const bool own_zone = zone == board.self.zone;
    time_point since = board.lifecycle->store_reached_at;
    bool leaving = false;
    if (known != nullptr) {
        since = std::max(since, known->changed_at);
        if (is_alive(board, known->claim)) {
            leaving = is_leaving(board, known->claim.holder);
            const host_entry* holder = board.hosts.find(known->claim.holder);
            const bool asks = own_zone && holder != nullptr && now >= since + return_delay &&
                              is_better_placed(board, *holder, plan_of(board, zone), number);
            if (!leaving && !asks) {
                return;
            }
        } else if (known->listed) {
            since += listing_delay;
        }
    }
    const zone_plan plan = plan_of(board, zone);
    if (plan.foreign || (!own_zone && !has_workers(board, cell))) {
        return;
    }
    const auto position = static_cast<std::int64_t>(plan.position(board.self.host, number));
    const duration delay =
        claim_stagger * position + (own_zone || leaving ? duration{} : foreign_delay);
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
    pending_.put(cell, {.sent_at = now, .previous_holder = gentle ? known->claim.holder : host_name()});
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
        next.previous_holder = sent->previous_holder;
        next.release_deadline = now + release_time;
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
    next.next_holder = claim.holder;
    next.release_deadline = now + release_time;
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
    if (!board.jobs.empty() || now < board.lifecycle->leaving_since + unclaimed_time) {
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
        if (it.value.phase == cell_phase::releasing && now >= it.value.release_deadline) {
            over.push_back(it.key);
        }
    }
    for (const cell_id& it : over) {
        drop(board, it, "released");
    }
}

} // namespace papayafall::jobs
