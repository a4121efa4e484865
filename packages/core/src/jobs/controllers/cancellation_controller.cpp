#include "papayafall/core/jobs/controllers/cancellation_controller.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Time for which a cancelled job is remembered. Copies of its request that the network held up
/// arrive within seconds, and callers stop submitting a job well before.
constexpr duration cancellation_memory_time = std::chrono::seconds(60);
/// Shortest remaining time for which a cancellation of another host is remembered. Hosts forget a
/// job at slightly different times, and would tell one another of it forever.
constexpr duration min_remaining_memory_time = std::chrono::seconds(5);
/// Number of cancelled jobs that are remembered, so that callers cannot exhaust the memory.
constexpr std::size_t max_cancelled_jobs = 16'384;
/// Time for which the answers of other hosts are awaited. It covers the opening of missing links,
/// and is shorter than callers wait.
constexpr duration host_answer_timeout = std::chrono::milliseconds(500);

bool is_connected(const job_board& board, const host_name& host)
{
    const peer_state* known = board.peers.find(host);
    return known != nullptr && known->connected;
}

/// Other hosts that may run jobs: the holders of all cells, and linked hosts, which may hold a cell
/// without the store.
std::set<host_name> possible_dispatchers(const job_board& board)
{
    std::set<host_name> found;
    for (const auto& it : board.stored_claims) {
        if (it.value.listed) {
            found.insert(it.value.claim.holder);
        }
    }
    for (const auto& it : board.peers) {
        if (it.value.connected) {
            found.insert(it.key);
        }
    }
    found.erase(host_name());
    found.erase(board.self.host);
    return found;
}

/// What is known of a job that no host had open, as far as they have answered.
job_status status_without_finding(const job_board& board)
{
    // While the store is lost, hosts that this one doesn't know of may hold cells.
    return board.lifecycle->store_reachable ? job_status::unknown : job_status::undetermined;
}

} // namespace

bool is_open(const job_board& board, const job_id& job)
{
    const auto call = board.calls_by_job.lower_bound({.job = job});
    const bool has_call = call != board.calls_by_job.end() && call->key.job == job;
    return has_call || board.jobs_by_id.contains(job);
}

bool is_cancelled(const job_board& board, const job_id& job)
{
    return board.cancelled_jobs.contains(job);
}

std::set<host_name> awaited_hosts(const job_board& board)
{
    std::set<host_name> found;
    for (const auto& it : board.open_cancellations) {
        found.insert(it.value->awaited.begin(), it.value->awaited.end());
    }
    return found;
}

cancellation_controller::cancellation_controller(job_board& board)
    : cancelled_jobs_(board.cancelled_jobs.claim()),
      open_cancellations_(board.open_cancellations.claim())
{
}

void cancellation_controller::on_event(job_board& board, const job_event& incoming,
                                       const clock_reading& now)
{
    if (const auto* it = std::get_if<job_status_requested>(&incoming);
        it != nullptr && it->cancel) {
        cancel_for_caller(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<job_cancellation_reported>(&incoming)) {
        remember(board, it->cancellation, now.steady);
    }
    if (const auto* it = std::get_if<job_cancellation_requested>(&incoming)) {
        const bool found = remember(board, it->cancellation, now.steady);
        board.outbox.post(answer_cancellation{it->link, it->cancellation.job, found});
    }
    if (const auto* it = std::get_if<job_cancellation_answered>(&incoming)) {
        on_answer(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<peer_connected>(&incoming)) {
        send_all(board, it->link);
        ask_connected_host(board, it->host);
    }
    if (const auto* it = std::get_if<delegator_connected>(&incoming)) {
        send_all(board, it->link);
    }
    if (std::holds_alternative<process_resumed>(incoming) ||
        std::holds_alternative<process_stopping>(incoming)) {
        answer_all_callers(board);
    }
}

void cancellation_controller::on_tick(job_board& board, const clock_reading& now)
{
    while (const auto forgotten = board.cancelled_jobs.expired(now.steady)) {
        cancelled_jobs_.erase(*forgotten);
    }
    while (const auto due = board.open_cancellations.expired(now.steady)) {
        answer_callers(board, *due, job_status::undetermined);
    }
}

void cancellation_controller::cancel_for_caller(job_board& board,
                                                const job_status_requested& request, time_point now)
{
    const bool found =
        remember(board, {.job = request.job, .forget_at = now + cancellation_memory_time}, now);
    if (found) {
        board.outbox.post(answer_job_status{request.call, job_status::cancelled});
        return;
    }
    ask_other_hosts(board, request, now);
}

void cancellation_controller::ask_other_hosts(job_board& board, const job_status_requested& request,
                                              time_point now)
{
    if (const open_cancellation* asked = board.open_cancellations.find(request.job)) {
        const auto extended =
            asked->with([&](open_cancellation_fields& it) { it.calls.push_back(request.call); });
        open_cancellations_.put(request.job, extended, extended->answer_by);
        return;
    }
    open_cancellation_fields asked{.calls = {request.call},
                                   .awaited = possible_dispatchers(board),
                                   .answer_by = now + host_answer_timeout};
    const std::set<host_name> hosts = asked.awaited;
    open_cancellations_.put(request.job, std::move(asked), now + host_answer_timeout);
    if (hosts.empty()) {
        answer_callers(board, request.job, status_without_finding(board));
        return;
    }
    const time_point forget_at = board.cancelled_jobs.find(request.job)->forget_at;
    for (const host_name& it : hosts) {
        if (is_connected(board, it)) {
            board.outbox.post(
                request_cancellation{it, {.job = request.job, .forget_at = forget_at}});
        }
    }
}

void cancellation_controller::on_answer(job_board& board, const job_cancellation_answered& answered,
                                        time_point now)
{
    if (answered.found) {
        remember(board,
                 {.job = answered.job, .found = true, .forget_at = now + cancellation_memory_time},
                 now);
        return;
    }
    const open_cancellation* asked = board.open_cancellations.find(answered.job);
    if (asked == nullptr) {
        return;
    }
    const auto remaining =
        asked->with([&](open_cancellation_fields& it) { it.awaited.erase(answered.host); });
    open_cancellations_.put(answered.job, remaining, remaining->answer_by);
    if (remaining->awaited.empty()) {
        answer_callers(board, answered.job, status_without_finding(board));
    }
}

bool cancellation_controller::remember(job_board& board, const job_cancellation& cancellation,
                                       time_point now)
{
    const job_id& job = cancellation.job;
    const bool open = is_open(board, job);
    if (open) {
        board.raised.post(job_cancelled{job});
    }
    const cancelled_job* known = board.cancelled_jobs.find(job);
    const bool found = cancellation.found || open || (known != nullptr && known->found);
    const bool expiring = now + min_remaining_memory_time > cancellation.forget_at;
    if (known == nullptr ? expiring : known->found == found) {
        return found;
    }
    const time_point forget_at =
        known != nullptr ? known->forget_at
                         : std::min(cancellation.forget_at, now + cancellation_memory_time);
    if (known == nullptr) {
        make_room(board);
    }
    cancelled_jobs_.put(job, {.found = found, .forget_at = forget_at}, forget_at);
    board.outbox.post(publish_cancellation{{.job = job, .found = found, .forget_at = forget_at}});
    if (found) {
        answer_callers(board, job, job_status::cancelled);
    }
    return found;
}

void cancellation_controller::make_room(job_board& board)
{
    if (board.cancelled_jobs.size() < max_cancelled_jobs) {
        return;
    }
    const auto dropped = board.cancelled_jobs.expired(board.cancelled_jobs.next_deadline());
    board.outbox.post(log_decision{"cancellation_dropped",
                                   dropped->text(),
                                   {{"remembered", std::to_string(max_cancelled_jobs)}}});
    cancelled_jobs_.erase(*dropped);
}

void cancellation_controller::send_all(job_board& board, link_number link)
{
    for (const auto& it : board.cancelled_jobs) {
        board.outbox.post(send_cancellation{
            link, {.job = it.key, .found = it.value.found, .forget_at = it.value.forget_at}});
    }
}

void cancellation_controller::ask_connected_host(job_board& board, const host_name& host)
{
    for (const auto& it : board.open_cancellations) {
        const cancelled_job* known = board.cancelled_jobs.find(it.key);
        if (known == nullptr || !it.value->awaited.contains(host)) {
            continue;
        }
        board.outbox.post(
            request_cancellation{host, {.job = it.key, .forget_at = known->forget_at}});
    }
}

void cancellation_controller::answer_callers(job_board& board, const job_id& job, job_status status)
{
    const open_cancellation* found = board.open_cancellations.find(job);
    if (found == nullptr) {
        return;
    }
    const open_cancellation asked = *found;
    open_cancellations_.erase(job);
    board.outbox.post(log_decision{
        "cancellation_answered",
        job.text(),
        {{"status", to_string(status)}, {"awaited", std::to_string(asked->awaited.size())}}});
    for (const call_id it : asked->calls) {
        board.outbox.post(answer_job_status{it, status});
    }
}

void cancellation_controller::answer_all_callers(job_board& board)
{
    std::vector<job_id> asked;
    for (const auto& it : board.open_cancellations) {
        asked.push_back(it.key);
    }
    for (const job_id& it : asked) {
        answer_callers(board, it, job_status::undetermined);
    }
}

} // namespace papayafall::jobs
