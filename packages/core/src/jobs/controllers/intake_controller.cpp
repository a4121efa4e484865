#include "papayafall/core/jobs/controllers/intake_controller.hpp"

#include "log_text.hpp"

#include "papayafall/core/jobs/controllers/cancellation_controller.hpp"
#include "papayafall/core/jobs/controllers/configuration_controller.hpp"
#include "papayafall/core/jobs/controllers/peer_controller.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayafall::jobs {

namespace {

/// Time after which a refused caller may submit its job again.
constexpr duration refused_retry_delay = std::chrono::seconds(1);
/// Number of times that a job is delegated before it is refused.
constexpr std::uint32_t max_delegation_attempts = 3;
/// Multiple of a job's tasks for which a dispatcher reports free places when it is given a job that
/// another one could not start in time. Other hosts may take some of them meanwhile.
constexpr std::uint32_t handover_place_reserve = 2;
/// Longest time for which a call waits for the first configuration.
constexpr duration configuration_wait = std::chrono::milliseconds(300);
/// Time after the store was reached within which dispatchers claim their cells, take over the
/// workers and report their load.
constexpr duration dispatcher_start_time = std::chrono::milliseconds(1000);
/// Time between two attempts to find a dispatcher.
constexpr duration placement_retry_delay = std::chrono::milliseconds(20);
/// Multiple of the objective after which an answer is no longer useful.
constexpr int useful_objective_multiple = 3;

/// Time after a caller's deadline at which its job is cancelled. Until then the dispatcher may
/// still tell that nothing was started.
constexpr duration caller_deadline_grace = std::chrono::milliseconds(50);
/// Age of a request, when it is read, from which it is logged.
constexpr duration late_request_age = std::chrono::milliseconds(100);

/// Whether jobs of this kind are served.
bool is_supported(const job_spec_fields& job)
{
    if (!job.options.best_effort || job.options.long_running || job.options.repetitions > 0) {
        return false;
    }
    return std::none_of(job.steps.begin(), job.steps.end(),
                        [](const job_step& it) { return it.gang; });
}

job_order make_order(const job_submitted& submitted, const queue_definition& queue,
                     std::uint64_t version)
{
    const duration critical_path_time = critical_path_duration(*submitted.job);
    const duration objective =
        std::chrono::duration_cast<duration>(critical_path_time * queue.objective_factor) +
        queue.objective_offset;
    return job_order_fields{
        .job = submitted.job,
        .queue = queue.name,
        .service = queue.service,
        .configuration_version = version,
        .max_attempts = std::max<std::uint32_t>(queue.max_attempts, 1),
        .priority = queue.priority,
        .received_at = submitted.received_at,
        .objective_deadline = submitted.received_at + objective,
        .expires_at = std::min(submitted.received_at + objective * useful_objective_multiple,
                               submitted.answer_by),
    };
}

/// Whether dispatchers may still be starting, or be unknown to this host because it has started.
bool dispatcher_expected(const job_board& board, time_point now)
{
    const time_point reached_at = board.lifecycle->store_reached_at;
    return reached_at == time_point{} || now < reached_at + dispatcher_start_time;
}

/// Linked dispatchers, this host's own among them, that have not refused the job.
std::vector<dispatcher_candidate>
dispatcher_candidates(const job_board& board, const accepted_call_fields& accepted, time_point now)
{
    const auto has_refused = [&](const host_name& it) {
        return std::find(accepted.refused_by.begin(), accepted.refused_by.end(), it) !=
               accepted.refused_by.end();
    };
    std::vector<dispatcher_candidate> candidates;
    if (!board.held_cells.empty() && !has_refused(board.self.host)) {
        candidates.push_back({.host = board.self.host,
                              .same_zone = true,
                              .load = own_load(board),
                              .reported_at = now});
    }
    for (const auto& it : board.peers) {
        if (!it.value.connected || has_refused(it.key)) {
            continue;
        }
        const host_entry* entry = board.hosts.find(it.key);
        candidates.push_back({.host = it.key,
                              .same_zone = entry != nullptr && entry->zone == board.self.zone,
                              .load = it.value.load,
                              .reported_at = it.value.reported_at,
                              .sent_cpu_millis = it.value.sent_cpu_millis});
    }
    return candidates;
}

} // namespace

intake_controller::intake_controller(job_board& board,
                                     std::shared_ptr<const dispatcher_selection_policy> selection,
                                     std::shared_ptr<const job_admission_policy> admission)
    : selection_(std::move(selection)), admission_(std::move(admission)),
      last_delegation_id_(board.last_delegation_id.claim()),
      unmatched_calls_(board.unmatched_calls.claim()), calls_(board.calls.claim()),
      calls_by_delegation_(board.calls_by_delegation.claim()),
      calls_by_job_(board.calls_by_job.claim())
{
}

void intake_controller::on_event(job_board& board, const job_event& incoming,
                                 const clock_reading& now)
{
    if (const auto* it = std::get_if<job_submitted>(&incoming)) {
        accept_call(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<delegation_answered>(&incoming)) {
        on_delegation_answered(board, *it, now.steady);
    }
    if (const auto* it = std::get_if<queue_length_requested>(&incoming)) {
        report_queue_length(board, *it);
    }
    if (const auto* it = std::get_if<job_status_requested>(&incoming);
        it != nullptr && !it->cancel) {
        report_job_status(board, *it);
    }
    if (const auto* it = std::get_if<job_cancelled>(&incoming)) {
        cancel_calls_of_job(board, it->job, now.steady);
    }
    if (const auto* it = std::get_if<call_abandoned>(&incoming)) {
        abandon_call(board, it->call, now.steady);
    }
    if (const auto* it = std::get_if<peer_lost>(&incoming)) {
        interrupt_calls_of_peer(board, it->host, now.steady);
    }
    if (std::holds_alternative<process_stopping>(incoming)) {
        interrupt_all_calls(board, now.steady);
    }
}

void intake_controller::on_tick(job_board& board, const clock_reading& now)
{
    review_unmatched_calls(board, now.steady);
    while (const auto due = board.calls.expired(now.steady)) {
        const accepted_call call = *board.calls.find(*due);
        if (!call->dispatcher.empty()) {
            // The caller may submit the job elsewhere from now on, even if the end of its
            // connection has not arrived here.
            cancel_delegation(board, call);
            answer_call(board, *due, job_outcome::interrupted, "caller_deadline", now.steady);
            continue;
        }
        const bool undecided = now.steady < admission_->decision_deadline(*call->order);
        const bool in_time = now.steady + critical_path_duration(*call->order->job) <
                             call->order->objective_deadline;
        if (undecided || (in_time && dispatcher_expected(board, now.steady))) {
            place_call(board, *due, call, now.steady);
        } else {
            answer_call(board, *due, job_outcome::refused, "no_dispatcher", now.steady);
        }
    }
}

void intake_controller::accept_call(job_board& board, const job_submitted& submitted,
                                    time_point now)
{
    const queue_configuration_fields& configuration = **board.configuration;
    const std::string& id = submitted.job->id.text();
    if (now - submitted.received_at >= late_request_age) {
        board.outbox.post(log_decision{"late_request",
                                       id,
                                       {{"age_ms", milliseconds_of(now - submitted.received_at)},
                                        {"left_ms", milliseconds_of(submitted.answer_by - now)}}});
    }
    if (is_cancelled(board, submitted.job->id)) {
        board.outbox.post(
            log_decision{"job_refused", id, {{"reason", to_string(refusal_reason::cancelled)}}});
        board.outbox.post(answer_job{submitted.call, job_outcome::cancelled, now, now});
        return;
    }
    const bool caller_gone = now >= submitted.answer_by;
    if (caller_gone || board.lifecycle->stopped) {
        board.outbox.post(log_decision{
            "job_refused", id, {{"reason", caller_gone ? "caller_deadline" : "stopping"}}});
        board.outbox.post(
            answer_job{submitted.call, job_outcome::refused, now + refused_retry_delay, now});
        return;
    }
    if (configuration.version == 0) {
        unmatched_calls_.put(submitted.call,
                             unmatched_call_fields{.hostname = submitted.hostname,
                                                   .path = submitted.path,
                                                   .job = submitted.job,
                                                   .received_at = submitted.received_at,
                                                   .answer_by = submitted.answer_by},
                             std::min(now + configuration_wait, submitted.answer_by));
        return;
    }
    const queue_definition* queue = configuration.match(submitted.hostname, submitted.path);
    if (queue == nullptr) {
        board.outbox.post(log_decision{"job_refused",
                                       id,
                                       {{"reason", "unknown_queue"},
                                        {"version", std::to_string(configuration.version)},
                                        {"confirmed_ms_ago", configuration_age(board, now)}}});
        board.outbox.post(answer_job{submitted.call, job_outcome::unknown_queue, now, now});
        return;
    }
    if (!is_supported(*submitted.job)) {
        board.outbox.post(log_decision{
            "job_refused", id, {{"reason", "unsupported_kind"}, {"queue", queue->name.text()}}});
        board.outbox.post(
            answer_job{submitted.call, job_outcome::unsupported, now + refused_retry_delay, now});
        return;
    }
    calls_by_job_.put({submitted.job->id, submitted.call}, submitted.call);
    place_call(board, submitted.call,
               accepted_call_fields{.order = make_order(submitted, *queue, configuration.version),
                                    .answer_by = submitted.answer_by},
               now);
}

void intake_controller::review_unmatched_calls(job_board& board, time_point now)
{
    if ((*board.configuration)->version == 0) {
        while (const auto due = board.unmatched_calls.expired(now)) {
            refuse_unmatched_call(board, *due, refusal_reason::no_configuration, now);
        }
        return;
    }
    std::vector<job_submitted> waiting;
    for (const auto& it : board.unmatched_calls) {
        waiting.push_back({.call = it.key,
                           .hostname = it.value->hostname,
                           .path = it.value->path,
                           .job = it.value->job,
                           .received_at = it.value->received_at,
                           .answer_by = it.value->answer_by});
    }
    for (const job_submitted& it : waiting) {
        unmatched_calls_.erase(it.call);
        accept_call(board, it, now);
    }
}

void intake_controller::refuse_unmatched_call(job_board& board, call_id call, refusal_reason reason,
                                              time_point now)
{
    const unmatched_call refused = *board.unmatched_calls.find(call);
    board.outbox.post(
        log_decision{"job_refused", refused->job->id.text(), {{"reason", to_string(reason)}}});
    board.outbox.post(
        answer_job{call, job_outcome::refused, now + refused_retry_delay, refused->received_at});
    unmatched_calls_.erase(call);
}

void intake_controller::place_call(job_board& board, call_id call, const accepted_call& accepted,
                                   time_point now)
{
    const dispatch_demand demand = demand_of(*accepted->order->job);
    const auto candidates = dispatcher_candidates(board, *accepted, now);
    const auto chosen = selection_->choose(demand, candidates, now);
    if (!chosen) {
        calls_.put(call, accepted, now + placement_retry_delay);
        return;
    }
    delegate_call(board, call, accepted, candidates[*chosen], now);
}

void intake_controller::delegate_call(job_board& board, call_id call, const accepted_call& accepted,
                                      const dispatcher_candidate& to, time_point now)
{
    if (!accepted->refused_by.empty()) {
        board.outbox.post(
            log_decision{"job_handed_on",
                         accepted->order->job->id.text(),
                         {{"reason", to_string(accepted->last_refusal)},
                          {"from", accepted->refused_by.back().text()},
                          {"to", to.host.text()},
                          {"same_zone", to.same_zone ? "1" : "0"},
                          {"ms", milliseconds_of(now - accepted->order->received_at)}}});
    }
    const delegation_id delegation = board.last_delegation_id->next();
    last_delegation_id_.put(delegation);
    calls_by_delegation_.put(delegation, call);
    const auto placed = accepted.with([&](accepted_call_fields& it) {
        it.delegation = delegation;
        it.dispatcher = to.host;
        ++it.attempts;
    });
    calls_.put(call, placed, placed->answer_by + caller_deadline_grace);
    if (to.host == board.self.host) {
        board.raised.post(
            delegation_received{{.link = {}, .delegation = delegation}, accepted->order});
        return;
    }
    board.outbox.post(delegate_job{.to = to.host,
                                   .delegation = delegation,
                                   .order = accepted->order,
                                   .same_zone = to.same_zone,
                                   .handed_on = !accepted->refused_by.empty(),
                                   .previous_refusal = accepted->last_refusal});
    const dispatch_demand demand = demand_of(*accepted->order->job);
    board.raised.post(job_delegated{to.host, demand.cpu_millis * demand.tasks});
}

bool intake_controller::hand_on(job_board& board, call_id call, const accepted_call& accepted,
                                time_point now)
{
    if (accepted->attempts >= max_delegation_attempts) {
        return false;
    }
    const job_order_fields& order = *accepted->order;
    const dispatch_demand demand = demand_of(*order.job);
    auto candidates = dispatcher_candidates(board, *accepted, now);
    if (now >= admission_->decision_deadline(order)) {
        // The caller learns of a refusal later than it should: only a dispatcher that can start
        // the job at once is worth that.
        std::erase_if(candidates, [&](const dispatcher_candidate& it) {
            return free_places(it, demand, now) < handover_place_reserve * demand.tasks;
        });
        if (now + critical_path_duration(*order.job) >= order.objective_deadline) {
            return false;
        }
    }
    const auto chosen = selection_->choose(demand, candidates, now);
    if (!chosen) {
        return false;
    }
    delegate_call(board, call, accepted, candidates[*chosen], now);
    return true;
}

void intake_controller::report_queue_length(job_board& board, const queue_length_requested& request)
{
    const queue_configuration_fields& configuration = **board.configuration;
    if (configuration.version == 0) {
        board.outbox.post(answer_queue_length{request.call, queue_length_status::no_configuration});
        return;
    }
    const queue_definition* queue = configuration.match(request.hostname, request.path);
    if (queue == nullptr) {
        board.outbox.post(answer_queue_length{request.call, queue_length_status::unknown_queue});
        return;
    }
    std::uint64_t waiting = 0;
    for (const auto& it : board.jobs) {
        if (it.value->order->queue == queue->name && !it.value->started && !it.value->closing) {
            ++waiting;
        }
    }
    board.outbox.post(answer_queue_length{request.call, queue_length_status::known, waiting});
}

void intake_controller::report_job_status(job_board& board, const job_status_requested& request)
{
    const queue_configuration_fields& configuration = **board.configuration;
    if (configuration.version == 0) {
        board.outbox.post(answer_job_status{request.call, job_status::no_configuration});
        return;
    }
    if (configuration.match(request.hostname, request.path) == nullptr) {
        board.outbox.post(answer_job_status{request.call, job_status::unknown_queue});
        return;
    }
    const bool open = is_open(board, request.job);
    board.outbox.post(
        answer_job_status{request.call, open ? job_status::running : job_status::unknown});
}

void intake_controller::abandon_call(job_board& board, call_id call, time_point now)
{
    if (board.unmatched_calls.contains(call)) {
        unmatched_calls_.erase(call);
        return;
    }
    const accepted_call* found = board.calls.find(call);
    if (found == nullptr) {
        return;
    }
    const accepted_call accepted = *found;
    board.outbox.post(log_decision{"job_abandoned",
                                   accepted->order->job->id.text(),
                                   {{"dispatcher", accepted->dispatcher.text()},
                                    {"ms", milliseconds_of(now - accepted->order->received_at)}}});
    cancel_delegation(board, accepted);
    calls_by_delegation_.erase(accepted->delegation);
    calls_by_job_.erase({accepted->order->job->id, call});
    calls_.erase(call);
}

void intake_controller::interrupt_calls_of_peer(job_board& board, const host_name& host,
                                                time_point now)
{
    std::vector<call_id> lost;
    for (const auto& it : board.calls) {
        if (it.value->dispatcher == host) {
            lost.push_back(it.key);
        }
    }
    for (const call_id it : lost) {
        answer_call(board, it, job_outcome::interrupted, "dispatcher_lost", now);
    }
}

void intake_controller::interrupt_all_calls(job_board& board, time_point now)
{
    std::vector<call_id> unmatched;
    for (const auto& it : board.unmatched_calls) {
        unmatched.push_back(it.key);
    }
    for (const call_id it : unmatched) {
        refuse_unmatched_call(board, it, refusal_reason::stopping, now);
    }
    std::vector<call_id> open;
    for (const auto& it : board.calls) {
        open.push_back(it.key);
    }
    for (const call_id it : open) {
        cancel_delegation(board, *board.calls.find(it));
        answer_call(board, it, job_outcome::interrupted, "leaving", now);
    }
}

void intake_controller::cancel_calls_of_job(job_board& board, const job_id& job, time_point now)
{
    std::vector<call_id> cancelled;
    for (auto it = board.calls_by_job.lower_bound({.job = job});
         it != board.calls_by_job.end() && it->key.job == job; ++it) {
        cancelled.push_back(it->value);
    }
    for (const call_id it : cancelled) {
        cancel_delegation(board, *board.calls.find(it));
        answer_call(board, it, job_outcome::cancelled, "caller", now);
    }
}

void intake_controller::on_delegation_answered(job_board& board,
                                               const delegation_answered& answered, time_point now)
{
    const call_id* found = board.calls_by_delegation.find(answered.delegation);
    if (found == nullptr) {
        return;
    }
    const call_id call = *found;
    const accepted_call accepted = *board.calls.find(call);
    if (answered.outcome != job_outcome::refused) {
        answer_call(board, call, answered.outcome, "dispatcher", now);
        return;
    }
    const auto refused = accepted.with([&](accepted_call_fields& it) {
        it.last_refusal = answered.refusal.reason;
        it.refused_by.push_back(it.dispatcher);
        it.dispatcher = {};
    });
    const bool undecided = now < admission_->decision_deadline(*accepted->order);
    if (answered.refusal.reason == refusal_reason::dispatcher_unlinked && undecided) {
        // The loss of the link is reported next, and then another dispatcher is chosen.
        calls_by_delegation_.erase(answered.delegation);
        calls_.put(call, accepted.with([](accepted_call_fields& it) { it.dispatcher = {}; }),
                   now + placement_retry_delay);
        return;
    }
    if (hand_on(board, call, refused, now)) {
        calls_by_delegation_.erase(answered.delegation);
        return;
    }
    answer_call(board, call, answered.outcome, "dispatcher", now, answered.refusal);
}

void intake_controller::cancel_delegation(job_board& board, const accepted_call& accepted)
{
    if (accepted->dispatcher.empty()) {
        return;
    }
    if (accepted->dispatcher == board.self.host) {
        board.raised.post(delegation_withdrawn{{.link = {}, .delegation = accepted->delegation}});
    } else {
        board.outbox.post(withdraw_delegation{accepted->dispatcher, accepted->delegation});
    }
}

void intake_controller::answer_call(job_board& board, call_id call, job_outcome outcome,
                                    const char* decided_by, time_point now,
                                    const job_refusal& refusal)
{
    const accepted_call accepted = *board.calls.find(call);
    const job_order_fields& order = *accepted->order;
    board.outbox.post(log_decision{"job_answered",
                                   order.job->id.text(),
                                   {{"outcome", to_string(outcome)},
                                    {"decided_by", decided_by},
                                    {"reason", to_string(refusal.reason)},
                                    {"dispatcher", accepted->dispatcher.text()},
                                    {"attempts", std::to_string(accepted->attempts)},
                                    {"ms", milliseconds_of(now - order.received_at)},
                                    {"late", now > order.objective_deadline ? "1" : "0"}}});
    const bool retry_time_known = refusal.retry_at != no_deadline;
    board.outbox.post(answer_job{call, outcome,
                                 retry_time_known ? refusal.retry_at : now + refused_retry_delay,
                                 order.received_at});
    calls_by_delegation_.erase(accepted->delegation);
    calls_by_job_.erase({order.job->id, call});
    calls_.erase(call);
}

} // namespace papayafall::jobs
