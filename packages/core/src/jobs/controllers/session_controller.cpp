#include "papayafall/core/jobs/controllers/session_controller.hpp"

#include "papayafall/core/jobs/state/worker_lease.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

using std::chrono::milliseconds;

/// Time on top of `max_run_stop_time` after which a stopped run is no longer reported.
constexpr duration stray_stop_margin = milliseconds(10);
/// Age of the last clock reading from which an idle worker is asked for a new one.
constexpr duration idle_report_period = std::chrono::seconds(5);
/// Time between the timeout of a call and the next attempt to reach the worker.
constexpr duration worker_retry_delay = milliseconds(200);

/// Whether the session may need a call or a change of phase. The tick runs often, and most sessions
/// are idle or wait for a report.
bool needs_maintenance(const job_board& board, const worker_id& id, const worker_session& session,
                       time_point now)
{
    const worker* entry = board.workers.find(id);
    const held_cell* held = board.held_cells.find(session.cell);
    if (session.phase != session_phase::ready || entry == nullptr || held == nullptr ||
        held->phase == cell_phase::releasing) {
        return true;
    }
    if (session.report_pending) {
        return false;
    }
    return session.handled_end > session.acknowledged_end ||
           now >= session.clock_read_at + idle_report_period || board.worker_loads.contains(id);
}

/// Session with a worker that was restarted. The lease is kept, because a call that extends it may
/// have reached the restarted worker already.
worker_session session_after_restart(const worker_session& previous)
{
    return {.cell = previous.cell,
            .address = previous.address,
            .token = previous.token,
            .lease_expired_by = previous.lease_expired_by};
}

/// Whether the worker seems to have crashed. A draining worker ends as planned.
bool is_crash_suspected(const job_board& board, const worker_id& id, const worker_session& session)
{
    const worker* entry = board.workers.find(id);
    return session.connection_refused && (entry == nullptr || !(*entry)->draining);
}

} // namespace

worker_address worker_address_of(const job_board& board, const worker_id& id,
                                 const worker_session& session)
{
    const worker* entry = board.workers.find(id);
    return {.id = id,
            .address = entry == nullptr ? session.address : (*entry)->address,
            .token = session.token};
}

const worker* current_entry(const job_board& board, const worker_id& id,
                            const worker_session& session)
{
    const worker* entry = board.workers.find(id);
    if (entry == nullptr || session.started_at_ms == 0 || (*entry)->started_at_ms == 0) {
        return entry;
    }
    return (*entry)->started_at_ms == session.started_at_ms ? entry : nullptr;
}

session_controller::session_controller(job_board& board) : sessions_(board.sessions.claim()) {}

void session_controller::on_event(job_board& board, const job_event& incoming,
                                  const clock_reading& now)
{
    if (const auto* it = std::get_if<report_received>(&incoming)) {
        on_report_received(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<report_failed>(&incoming)) {
        on_report_failed(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<lease_extended>(&incoming)) {
        if (const worker_session* known = board.sessions.find(it->worker)) {
            worker_session session = *known;
            session.lease_expired_by = std::max(session.lease_expired_by, it->lease_expired_by);
            sessions_.put(it->worker, std::move(session));
        }
    }
    if (const auto* it = std::get_if<start_answered>(&incoming);
        it != nullptr && (it->result == start_result::connection_refused ||
                          it->result == start_result::other_instance)) {
        on_start_refused(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<stop_answered>(&incoming)) {
        const worker_session* known = board.sessions.find(it->worker);
        if (known != nullptr && it->accepted && board.runs.contains(it->run)) {
            poll_worker(board, it->worker, *known, now.steady);
        }
    }
    if (const auto* it = std::get_if<cell_acquired>(&incoming)) {
        open_cell_sessions(board, it->cell, now.steady);
    }
    if (const auto* it = std::get_if<cell_lost>(&incoming)) {
        close_cell_sessions(board, it->cell);
    }
    if (const auto* it = std::get_if<worker_listed>(&incoming)) {
        on_worker_listed(board, it->entry, now.steady);
    }
    if (const auto* it = std::get_if<worker_released>(&incoming)) {
        const worker_session* known = board.sessions.find(it->id);
        if (known != nullptr && known->phase == session_phase::awaiting_release) {
            poll_worker(board, it->id, *known, now.steady);
        }
    }
    if (const auto* it = std::get_if<peer_lost>(&incoming)) {
        on_previous_holder_lost(board, it->host, now.steady);
    } else if (std::holds_alternative<process_resumed>(incoming)) {
        poll_all_workers(board, now.steady);
    }
}

void session_controller::on_tick(job_board& board, const clock_reading& now)
{
    std::vector<worker_id> due;
    for (const auto& it : board.sessions) {
        if (needs_maintenance(board, it.key, it.value, now.steady)) {
            due.push_back(it.key);
        }
    }
    for (const worker_id& id : due) {
        const worker_session session = *board.sessions.find(id);
        if (release_idle_worker(board, id, session)) {
            continue;
        }
        maintain_session(board, id, session, now.steady);
    }
}

void session_controller::on_worker_listed(job_board& board, const worker& entry, time_point now)
{
    const worker_session* known = board.sessions.find(entry->id);
    if (known != nullptr) {
        if (known->address != entry->address) {
            worker_session session = *known;
            session.address = entry->address;
            sessions_.put(entry->id, std::move(session));
            known = board.sessions.find(entry->id);
        }
        if (known->started_at_ms != 0 && entry->started_at_ms != 0 &&
            known->started_at_ms < entry->started_at_ms) {
            board.raised.post(worker_restarted{entry->id});
            poll_worker(board, entry->id, session_after_restart(*known), now);
        }
        return;
    }
    const held_cell* held = board.held_cells.find(board.cell_of(*entry));
    if (held != nullptr && held->phase == cell_phase::held) {
        open_session(board, *entry, *held, now);
    }
}

void session_controller::on_report_received(job_board& board, const report_received& received,
                                            time_point now)
{
    const worker_session* known = board.sessions.find(received.worker);
    if (known == nullptr) {
        return;
    }
    worker_session session = *known;
    const worker_report& report = received.report;
    if (received.long_poll) {
        session.report_pending = false;
    }
    if (session.started_at_ms != 0 && report.started_at_ms != 0 &&
        report.started_at_ms != session.started_at_ms) {
        if (report.started_at_ms < session.started_at_ms) {
            return;
        }
        board.raised.post(worker_restarted{received.worker});
        board.outbox.post(log_decision{"worker_reborn",
                                       received.worker.text(),
                                       {{"born", std::to_string(report.started_at_ms)}}});
        session = session_after_restart(session);
    }
    session.started_at_ms =
        report.started_at_ms != 0 ? report.started_at_ms : session.started_at_ms;
    session.clock = report.clock;
    session.clock_read_at = now;
    session.connection_refused = false;
    for (const ended_run& it : report.ended) {
        if (it.sequence > session.handled_end) {
            board.raised.post(run_finished{received.worker, it.run, it.outcome});
        }
    }
    for (const ended_run& it : report.ended) {
        session.handled_end = std::max(session.handled_end, it.sequence);
    }
    std::vector<run_id> stray_runs;
    for (const active_run& it : report.running) {
        if (!board.runs_by_worker.contains({received.worker, it.run})) {
            stray_runs.push_back(it.run);
        }
    }
    if (session.phase != session_phase::awaiting_release) {
        const bool taken_over = session.phase == session_phase::ready || stray_runs.empty();
        if (taken_over && session.phase != session_phase::ready) {
            board.outbox.post(log_decision{
                "worker_ready", received.worker.text(), {{"was", to_string(session.phase)}}});
        }
        session.phase = taken_over ? session_phase::ready : session_phase::stopping_strays;
    }
    const bool repeats_stop =
        now >= session.stray_stop_sent_at + board.parameters.max_run_stop_time + stray_stop_margin;
    if (!stray_runs.empty() && (repeats_stop || stray_runs != session.stray_runs)) {
        stop_stray_runs(board, received.worker, session, stray_runs, now);
        session.stray_stop_sent_at = now;
    }
    session.stray_runs = std::move(stray_runs);
    sessions_.put(received.worker, std::move(session));
}

void session_controller::on_report_failed(job_board& board, const report_failed& failed,
                                          time_point now)
{
    const worker_session* known = board.sessions.find(failed.worker);
    if (known == nullptr) {
        return;
    }
    worker_session session = *known;
    if (failed.long_poll) {
        session.report_pending = false;
    }
    if (failed.reason == call_failure::fenced) {
        if (failed.token == session.token) {
            board.raised.post(worker_ownership_lost{failed.worker});
            close_session(board, failed.worker);
            return;
        }
        // The call was sent with the previous token, before this host renewed its claim.
        sessions_.put(failed.worker, std::move(session));
        return;
    }
    // The runs are not known to have ended: a refusal may come from a device on the way, and the
    // worker goes on behind it. Its next report or the end of their lease decides.
    session.connection_refused = failed.reason == call_failure::connection_refused;
    if (session.phase == session_phase::ready) {
        board.outbox.post(log_decision{
            "worker_unreachable", failed.worker.text(), {{"reason", to_string(failed.reason)}}});
    }
    session.acknowledged_end = 0;
    if (session.phase == session_phase::awaiting_release) {
        sessions_.put(failed.worker, std::move(session));
        return;
    }
    const bool retries_now = session.phase == session_phase::ready && !session.connection_refused;
    session.phase = session_phase::unreachable;
    session.report_sent_at = now;
    if (retries_now) {
        poll_worker(board, failed.worker, std::move(session), now);
        return;
    }
    sessions_.put(failed.worker, std::move(session));
}

void session_controller::on_start_refused(job_board& board, const start_answered& answered,
                                          time_point now)
{
    const worker_id& id = answered.worker;
    const worker_session* known = board.sessions.find(id);
    if (known == nullptr || known->phase != session_phase::ready) {
        return;
    }
    board.outbox.post(
        log_decision{"worker_unreachable", id.text(), {{"reason", to_string(answered.result)}}});
    worker_session session = *known;
    session.phase = session_phase::unreachable;
    session.connection_refused = answered.result == start_result::connection_refused;
    poll_worker(board, id, std::move(session), now);
}

void session_controller::poll_all_workers(job_board& board, time_point now)
{
    std::vector<std::pair<worker_id, worker_session>> all;
    for (const auto& it : board.sessions) {
        all.emplace_back(it.key, it.value);
    }
    for (auto& [id, session] : all) {
        session.report_pending = false;
        poll_worker(board, id, session, now);
    }
}

void session_controller::poll_worker(job_board& board, const worker_id& id, worker_session session,
                                     time_point now)
{
    board.outbox.post(fetch_report{.to = worker_address_of(board, id, session),
                                   .acknowledged_end = session.handled_end,
                                   .timeout_at = now + worker_answer_timeout});
    if (session.phase != session_phase::ready) {
        session.phase = session.phase == session_phase::unreachable ? session_phase::unreachable
                                                                    : session_phase::probing;
    }
    session.report_sent_at = now;
    sessions_.put(id, std::move(session));
}

void session_controller::maintain_session(job_board& board, const worker_id& id,
                                          const worker_session& session, time_point now)
{
    const worker* entry = board.workers.find(id);
    if (session.phase == session_phase::awaiting_release) {
        if (now >= session.lease_expired_by) {
            poll_worker(board, id, session, now);
        }
        return;
    }
    const worker_load* load = board.worker_loads.find(id);
    const bool busy = load != nullptr && load->runs > 0;
    // An unlisted worker may only be cut off from the store: while it answers, its runs go on.
    const bool answers = session.phase == session_phase::ready;
    const bool silent =
        session.phase == session_phase::unreachable || (entry == nullptr && !answers);
    if (silent && busy && now >= session.lease_expired_by) {
        board.raised.post(worker_runs_terminated{id, is_crash_suspected(board, id, session)});
    }
    const bool has_unacknowledged_ends = session.handled_end > session.acknowledged_end;
    if (entry == nullptr) {
        const bool finishing = answers && (session.report_pending || has_unacknowledged_ends);
        if (!busy && !finishing) {
            close_session(board, id);
            return;
        }
        if (!answers) {
            return;
        }
    }
    if (session.phase != session_phase::ready) {
        const bool answered = session.clock_read_at >= session.report_sent_at;
        const duration poll_period = session.phase == session_phase::stopping_strays && answered
                                         ? board.parameters.max_run_stop_time + stray_stop_margin
                                         : worker_answer_timeout + worker_retry_delay;
        if (now >= session.report_sent_at + poll_period) {
            poll_worker(board, id, session, now);
        }
        return;
    }
    const bool clock_stale = now >= session.clock_read_at + idle_report_period;
    if (session.report_pending || (!busy && !has_unacknowledged_ends && !clock_stale)) {
        return;
    }
    worker_session next = session;
    fetch_report call{.to = worker_address_of(board, id, session),
                      .acknowledged_end = session.handled_end,
                      .long_poll = true};
    if (busy) {
        const lease_request lease = request_lease(session, lease_length(board.parameters), now);
        call.lease_until = lease.until;
        call.max_wait = report_long_poll_duration;
        next.lease_expired_by = std::max(next.lease_expired_by, lease.lease_expired_by);
    }
    call.timeout_at = now + call.max_wait + worker_answer_timeout;
    next.report_pending = true;
    next.report_sent_at = now;
    next.acknowledged_end = session.handled_end;
    board.outbox.post(call);
    sessions_.put(id, std::move(next));
}

void session_controller::stop_stray_runs(job_board& board, const worker_id& id,
                                         const worker_session& session,
                                         const std::vector<run_id>& stray_runs, time_point now)
{
    for (const run_id& it : stray_runs) {
        board.outbox.post(stop_run{.to = worker_address_of(board, id, session),
                                   .run = it,
                                   .timeout_at = now + worker_answer_timeout});
        board.outbox.post(log_decision{"stray_run_stopped",
                                       it.job.text(),
                                       {{"worker", id.text()},
                                        {"run", std::to_string(it.number)},
                                        {"phase", to_string(session.phase)}}});
    }
}

} // namespace papayafall::jobs
