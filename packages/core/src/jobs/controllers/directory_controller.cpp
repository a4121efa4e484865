#include "papayafall/core/jobs/controllers/directory_controller.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>

namespace papayafall::jobs {

namespace {

/// Time that workers have to list themselves again once the store is reachable.
constexpr duration worker_relisting_grace = std::chrono::milliseconds(2200);

/// Time after the store was reached in which a host may claim cells for the first time.
constexpr duration claim_preparation_time = std::chrono::seconds(5);

} // namespace

directory_controller::directory_controller(job_board& board)
    : workers_(board.workers.claim()), unlisted_workers_(board.unlisted_workers.claim()),
      view_of_workers_(board.view_of_workers.claim()), hosts_(board.hosts.claim()),
      stored_claims_(board.stored_claims.claim())
{
}

void directory_controller::on_event(job_board& board, const job_event& incoming,
                                    const clock_reading& now)
{
    if (const auto* it = std::get_if<worker_listed>(&incoming)) {
        record_worker(board, it->entry);
    }
    if (const auto* it = std::get_if<worker_unlisted>(&incoming)) {
        mark_worker_unlisted(board, it->id, now.steady);
    }
    if (std::holds_alternative<workers_followed>(incoming) &&
        *board.view_of_workers == worker_view::catching_up) {
        view_of_workers_.put(worker_view::current);
    }
    if (const auto* it = std::get_if<host_listed>(&incoming)) {
        hosts_.put(it->entry.host, it->entry);
    }
    if (const auto* it = std::get_if<host_unlisted>(&incoming)) {
        hosts_.erase(it->host);
    }
    if (const auto* it = std::get_if<claim_listed>(&incoming)) {
        record_claim(board, it->cell, it->claim, now.steady);
    }
    if (const auto* it = std::get_if<claim_unlisted>(&incoming)) {
        mark_claim_unlisted(board, it->cell, now.steady);
    }
    if (const auto* it = std::get_if<claim_answered>(&incoming)) {
        if (it->result == claim_result::granted) {
            record_claim(board, it->cell,
                         {.holder = board.self.host,
                          .incarnation = board.self.incarnation,
                          .revision = it->revision},
                         now.steady);
        }
    }
}

void directory_controller::on_tick(job_board& board, const clock_reading& now)
{
    while (const auto gone = board.unlisted_workers.expired(now.steady)) {
        unlisted_workers_.erase(*gone);
        workers_.erase(*gone);
        board.outbox.post(log_decision{"worker_gone", gone->text(), {{"reason", "not_listed"}}});
    }
    review_view_of_workers(board, now.steady);
}

void directory_controller::review_view_of_workers(job_board& board, time_point now)
{
    const bool needed = !board.held_cells.empty() || now < *board.workers_needed_until ||
                        now < board.lifecycle->store_reached_at + claim_preparation_time;
    const bool follows = *board.view_of_workers != worker_view::listed;
    if (needed == follows || !board.lifecycle->store_reachable) {
        return;
    }
    view_of_workers_.put(needed ? worker_view::catching_up : worker_view::listed);
    board.outbox.post(follow_workers{needed});
    board.outbox.post(
        log_decision{"workers_followed", "workers", {{"follow", needed ? "1" : "0"}}});
}

void directory_controller::record_worker(job_board& board, const worker& entry)
{
    const worker* known = board.workers.find(entry->id);
    unlisted_workers_.erase(entry->id);
    if (known != nullptr && *known == entry) {
        return;
    }
    if (known == nullptr || (*known)->started_at_ms != entry->started_at_ms ||
        (*known)->draining != entry->draining) {
        board.outbox.post(log_decision{"worker_listed",
                                       entry->id.text(),
                                       {{"zone", entry->zone.text()},
                                        {"born", std::to_string(entry->started_at_ms)},
                                        {"draining", entry->draining ? "1" : "0"}}});
    }
    workers_.put(entry->id, entry);
}

void directory_controller::mark_worker_unlisted(job_board& board, const worker_id& id,
                                                time_point now)
{
    if (!board.workers.contains(id)) {
        return;
    }
    const time_point remove_at =
        std::max(now, board.lifecycle->store_reached_at + worker_relisting_grace);
    unlisted_workers_.put(id, remove_at, remove_at);
}

void directory_controller::record_claim(job_board& board, const cell_id& cell,
                                        const cell_claim& claim, time_point now)
{
    const claim_state* known = board.stored_claims.find(cell);
    if (known != nullptr && known->claim.revision > claim.revision) {
        return;
    }
    if (known != nullptr && known->listed && known->claim == claim) {
        return;
    }
    stored_claims_.put(cell, {.claim = claim, .listed = true, .changed_at = now});
}

void directory_controller::mark_claim_unlisted(job_board& board, const cell_id& cell,
                                               time_point now)
{
    const claim_state* known = board.stored_claims.find(cell);
    if (known == nullptr || !known->listed) {
        return;
    }
    stored_claims_.put(cell, {.claim = known->claim, .listed = false, .changed_at = now});
}

} // namespace papayafall::jobs
