#include "papayafall/core/controllers/scheduling_controller.hpp"

#include "papayafall/core/policies/peer_capacity.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

/// Returns whether `outcome` proves that the task did not run.
bool certainly_not_run(const exchange_outcome& outcome)
{
    if (const auto* reason = std::get_if<failure>(&outcome)) {
        return reason->run == run_state::not_run;
    }
    return std::holds_alternative<target_refused>(outcome) ||
           std::holds_alternative<not_sent>(outcome);
}

/// Returns the failure to report for a task that is not retried.
/// @param uncertain whether an earlier attempt may have run the task
failure failure_of(const exchange_outcome& outcome, bool uncertain)
{
    failure reason{.id = error_id::outcome_unknown,
                   .run = run_state::unknown,
                   .detail = "the connection to the target was lost or the target did not answer"};
    if (const auto* reported = std::get_if<failure>(&outcome)) {
        reason = *reported;
    } else if (std::holds_alternative<target_refused>(outcome)) {
        reason = failure{.id = error_id::overloaded, .detail = "the targets rejected the task"};
    } else if (std::holds_alternative<not_sent>(outcome)) {
        reason = failure{.id = error_id::no_target, .detail = "no target could be reached"};
    }
    if (uncertain && reason.run == run_state::not_run) {
        reason.run = run_state::unknown;
    }
    return reason;
}

/// Returns the failure for a task whose deadline passed in the queue.
/// @param uncertain whether an earlier attempt may have run the task
failure deadline_failure(bool uncertain)
{
    return failure{.id = error_id::deadline_passed,
                   .run = uncertain ? run_state::unknown : run_state::not_run,
                   .detail = "the deadline passed before the task could start"};
}

bool is_idempotent(const configuration& current, const service_name& service)
{
    const auto it = current->services.find(service);
    return it != current->services.end() && it->second.idempotent;
}

work_item make_work_item(const blackboard& board, const request& content,
                         const task& submitted_task)
{
    const bool idempotent = is_idempotent(board.current_configuration.get(), content->service);
    return work_item_fields{
        .service = content->service,
        .team = content->team,
        .urgency = content->urgency.value_or(default_urgency),
        .idempotent = idempotent,
        .body = submitted_task.body,
        .declared_run_time = submitted_task.declared_run_time,
        .deadline = content->deadline,
        .retryable = idempotent && content->tasks.size() == 1 && !content->key,
    };
}

/// Returns the latest start at which the task is likely to end before its deadline: by the high
/// quantile of its run time.
time_point start_by(const work_item& work, const run_time_estimator& run_times,
                    const blackboard& board)
{
    if (work->deadline == no_deadline) {
        return no_deadline;
    }
    return work->deadline - run_times.high_quantile(work, board);
}

/// Returns the start after which the task is not expected to end before its deadline: by the low
/// quantile of its run time.
time_point latest_start(const work_item& work, const run_time_estimator& run_times,
                        const blackboard& board)
{
    if (work->deadline == no_deadline) {
        return no_deadline;
    }
    return work->deadline - run_times.low_quantile(work, board);
}

time_point with_grace(time_point deadline, duration grace)
{
    return deadline > no_deadline - grace ? no_deadline : deadline + grace;
}

/// Returns the time at which an exchange counts as lost if its traffic thread has not reported an
/// outcome. Twice the grace period, because the traffic thread itself ends the exchange after one.
time_point presumed_lost_at(const work_item& work, const blackboard& board)
{
    return with_grace(work->deadline, 2 * board.parameters->exchange_grace);
}

} // namespace

scheduling_controller::scheduling_controller(blackboard& board, scheduling_policies policies)
    : policies_(std::move(policies)), counters_(board.scheduling_counters.claim()),
      queue_(board.queue.claim()), ranks_by_owner_(board.ranks_by_owner.claim()),
      exchanges_(board.exchanges.claim()), exchanges_by_owner_(board.exchanges_by_owner.claim()),
      slot_usages_(board.slot_usages.claim()), backlog_(board.queue_backlog.claim()),
      backlog_by_start_(board.backlog_by_start.claim()),
      retry_budget_(board.available_retries.claim()), delegations_(board.delegations.claim()),
      overrun_checks_(board.overrun_checks.claim()), target_index_(board)
{
}

void scheduling_controller::on_event(blackboard& board, const event& incoming,
                                     const clock_reading& now)
{
    if (const auto* accepted = std::get_if<submission_accepted>(&incoming)) {
        queue_submission(board, *accepted, now);
    } else if (const auto* delegated = std::get_if<delegation_received>(&incoming)) {
        start_delegated(board, *delegated, now);
    } else if (const auto* finished = std::get_if<exchange_finished>(&incoming)) {
        finish_exchange(board, *finished, now);
    } else if (const auto* closed = std::get_if<submission_closed>(&incoming)) {
        drop_submission(board, closed->submission);
    } else if (const auto* changed = std::get_if<target_changed>(&incoming)) {
        target_index_.refresh(board, changed->target);
    } else if (const auto* received = std::get_if<heartbeat_received>(&incoming)) {
        delegations_.erase(
            peer_id{.host = received->beat->host, .incarnation = received->beat->incarnation});
    }
}

void scheduling_controller::on_tick(blackboard& board, const clock_reading& now)
{
    handle_expired(board, now);
    mark_long_running(board, now.steady);
    start_queued(board, now);
}

// Accepted and delegated work

void scheduling_controller::queue_submission(blackboard& board, const submission_accepted& accepted,
                                             const clock_reading& now)
{
    std::uint32_t index = 0;
    for (const task& it : accepted.content->tasks) {
        const work_item work = make_work_item(board, accepted.content, it);
        enqueue(board,
                queued_work_fields{
                    .owner = home_owner{.submission = accepted.submission, .index = index},
                    .item = work,
                    .expected_run_time = policies_.run_times->expected(work, board),
                    .start_by = start_by(work, *policies_.run_times, board),
                },
                now);
        ++index;
    }
}

void scheduling_controller::start_delegated(blackboard& board, const delegation_received& delegated,
                                            const clock_reading& now)
{
    const queued_work work(queued_work_fields{
        .owner = delegated.owner,
        .item = delegated.work,
        .expected_run_time = policies_.run_times->expected(delegated.work, board),
    });
    if (board.exchanges_by_owner.contains(work->owner)) {
        return;
    }
    const auto target = policies_.slots->may_start(work, board, now)
                            ? policies_.targets->select(work->item, board, now)
                            : std::nullopt;
    if (target) {
        start_at_target(board, work, *target, now);
        return;
    }
    report_result(board, work->owner,
                  failure{.id = error_id::overloaded, .detail = "the peer has no free slot"});
}

void scheduling_controller::drop_submission(blackboard& board, submission_id submission)
{
    const work_owner first = home_owner{.submission = submission};
    const work_owner past_last = home_owner{.submission = submission.next()};
    for (auto it = board.ranks_by_owner.lower_bound(first);
         it != board.ranks_by_owner.end() && it->key < past_last;) {
        const queue_rank rank = it->value;
        ++it;
        remove_from_queue(board, rank);
    }
    std::vector<exchange_id> abandoned;
    for (auto it = board.exchanges_by_owner.lower_bound(first);
         it != board.exchanges_by_owner.end() && it->key < past_last; ++it) {
        abandoned.push_back(it->value);
    }
    for (const exchange_id it : abandoned) {
        const exchange_state state = *board.exchanges.find(it);
        exchanges_.put(it,
                       state.with([](exchange_state_fields& fields) { fields.abandoned = true; }),
                       presumed_lost_at(state->work, board));
    }
}

// Results

void scheduling_controller::finish_exchange(blackboard& board, const exchange_finished& finished,
                                            const clock_reading& now)
{
    const exchange_state* found = board.exchanges.find(finished.exchange);
    if (found == nullptr) {
        return;
    }
    const exchange_state ended = *found;
    exchanges_.erase(finished.exchange);
    exchanges_by_owner_.erase(ended->owner);
    overrun_checks_.erase(finished.exchange);
    adjust_slot_usage(board, ended, -1);
    if (const auto* result = std::get_if<task_answer>(&finished.outcome)) {
        // Late results are reported too: the home may store them for a resubmission.
        report_result(board, ended->owner, *result);
        return;
    }
    if (ended->abandoned) {
        return;
    }
    const bool uncertain = ended->may_have_run || !certainly_not_run(finished.outcome);
    const bool homed_here = std::holds_alternative<home_owner>(ended->owner);
    if (homed_here && now.steady < ended->work->deadline &&
        policies_.retries->may_retry(ended, finished.outcome, board, now)) {
        retry_budget_.put(board.available_retries.get().with_retry());
        requeue(board, ended, uncertain, now);
        return;
    }
    report_result(board, ended->owner, failure_of(finished.outcome, ended->may_have_run));
}

void scheduling_controller::requeue(blackboard& board, const exchange_state& ended, bool uncertain,
                                    const clock_reading& now)
{
    enqueue(board,
            queued_work_fields{
                .owner = ended->owner,
                .item = ended->work,
                .attempts = ended->attempts,
                .may_have_run = uncertain,
                .expected_run_time = ended->expected_run_time,
                .start_by = start_by(ended->work, *policies_.run_times, board),
            },
            now);
}

void scheduling_controller::report_result(blackboard& board, const work_owner& owner,
                                          const task_result& result)
{
    board.raised.post(work_finished{owner, result});
    if (const auto* it = std::get_if<peer_owner>(&owner)) {
        board.outbox.post(answer_delegation{*it, result});
    }
}

// The queue

void scheduling_controller::enqueue(blackboard& board, const queued_work& work,
                                    const clock_reading& now)
{
    scheduling_numbers counters = board.scheduling_counters.get();
    const queue_rank rank = policies_.order->rank(work, counters.next_sequence++, board, now);
    counters_.put(counters);
    queue_.put(rank, work, latest_start(work->item, *policies_.run_times, board));
    ranks_by_owner_.put(work->owner, rank);
    update_backlog(board, rank, work, true);
}

void scheduling_controller::remove_from_queue(blackboard& board, const queue_rank& rank)
{
    const queued_work work = *board.queue.find(rank);
    queue_.erase(rank);
    ranks_by_owner_.erase(work->owner);
    update_backlog(board, rank, work, false);
}

void scheduling_controller::update_backlog(blackboard& board, const queue_rank& rank,
                                           const queued_work& work, bool added)
{
    const backlog& before = board.queue_backlog.get();
    backlog_.put(added ? before.with_added(rank, work) : before.with_removed(rank, work));

    const backlog_rank backlog_key = backlog_rank_of(rank, work);
    const class_backlog* known = board.backlog_by_start.find(backlog_key);
    class_backlog sums = known == nullptr ? class_backlog{} : *known;
    if (added) {
        sums.tasks += 1;
        sums.work += work->expected_run_time;
    } else {
        sums.tasks -= 1;
        sums.work -= work->expected_run_time;
    }
    if (sums.tasks == 0) {
        backlog_by_start_.erase(backlog_key);
    } else {
        backlog_by_start_.put(backlog_key, sums);
    }
}

void scheduling_controller::handle_expired(blackboard& board, const clock_reading& now)
{
    while (const auto rank = board.queue.expired(now.steady)) {
        const queued_work work = *board.queue.find(*rank);
        remove_from_queue(board, *rank);
        report_result(board, work->owner, deadline_failure(work->may_have_run));
    }
    while (const auto exchange = board.exchanges.expired(now.steady)) {
        finish_exchange(board, exchange_finished{*exchange, no_answer{}}, now);
    }
    while (const auto peer = board.delegations.expired(now.steady)) {
        delegations_.erase(*peer);
    }
}

void scheduling_controller::mark_long_running(blackboard& board, time_point now)
{
    while (const auto exchange = board.overrun_checks.expired(now)) {
        overrun_checks_.erase(*exchange);
        const exchange_state state = *board.exchanges.find(*exchange);
        adjust_slot_usage(board, state, -1);
        const exchange_state marked =
            state.with([](exchange_state_fields& it) { it.long_running = true; });
        exchanges_.put(*exchange, marked, presumed_lost_at(state->work, board));
        adjust_slot_usage(board, marked, 1);
    }
}

// Starting of queued work

void scheduling_controller::start_queued(blackboard& board, const clock_reading& now)
{
    for (std::uint8_t lane = 0; lane < lane_count; ++lane) {
        while (start_first_in_lane(board, lane, now)) {
        }
    }
}

bool scheduling_controller::start_first_in_lane(blackboard& board, std::uint8_t lane,
                                                const clock_reading& now)
{
    const auto first =
        board.queue.lower_bound(queue_rank{.lane = lane, .start_by = time_point::min()});
    if (first == board.queue.end() || first->key.lane != lane) {
        return false;
    }
    const queue_rank rank = first->key;
    const queued_work work = first->value;
    const auto target = policies_.slots->may_start(work, board, now)
                            ? policies_.targets->select(work->item, board, now)
                            : std::nullopt;
    if (target) {
        remove_from_queue(board, rank);
        start_at_target(board, work, *target, now);
        return true;
    }
    const auto peer = policies_.overflow->select(work->item, board, now);
    if (!peer) {
        return false;
    }
    remove_from_queue(board, rank);
    start_at_peer(board, work, *peer, now);
    return true;
}

void scheduling_controller::start_at_target(blackboard& board, const queued_work& work,
                                            const target_name& target, const clock_reading& now)
{
    const exchange_id exchange = record_exchange(board, work, target, now);
    target_index_.count_start(board, target);
    const target_state& state = *board.targets.find(target);
    board.outbox.post(
        start_exchange{exchange, target, state->entry.address, work->item,
                       with_grace(work->item->deadline, board.parameters->exchange_grace)});
}

void scheduling_controller::start_at_peer(blackboard& board, const queued_work& work,
                                          const peer_id& peer, const clock_reading& now)
{
    const exchange_id exchange = record_exchange(board, work, peer, now);
    const host_state* state = board.hosts.find(peer.host);
    delegations_.put(peer, after_delegation(peer, board), (*state)->alive_until);
    board.outbox.post(delegate_work{peer, (*state)->last_heartbeat->link, exchange, work->item});
}

exchange_id scheduling_controller::record_exchange(blackboard& board, const queued_work& work,
                                                   const exchange_destination& destination,
                                                   const clock_reading& now)
{
    scheduling_numbers counters = board.scheduling_counters.get();
    const exchange_id exchange(counters.next_exchange++);
    counters_.put(counters);
    if (work->attempts == 0) {
        retry_budget_.put(board.available_retries.get().with_first_attempt());
    }
    const time_point long_from =
        policies_.slots->counts_as_long_from(work->expected_run_time, now.steady);
    const exchange_state state(exchange_state_fields{
        .owner = work->owner,
        .work = work->item,
        .destination = destination,
        .attempts = work->attempts + 1,
        .may_have_run = work->may_have_run,
        .started_at = now.steady,
        .expected_run_time = work->expected_run_time,
        .long_running = long_from <= now.steady,
    });
    exchanges_.put(exchange, state, presumed_lost_at(work->item, board));
    exchanges_by_owner_.put(work->owner, exchange);
    if (!state->long_running && long_from != no_deadline) {
        overrun_checks_.put(exchange, long_from, long_from);
    }
    adjust_slot_usage(board, state, 1);
    return exchange;
}

void scheduling_controller::adjust_slot_usage(blackboard& board, const exchange_state& exchange,
                                              int delta)
{
    const auto* target = std::get_if<target_name>(&exchange->destination);
    if (target == nullptr) {
        return;
    }
    const slot_usage* known = board.slot_usages.find(*target);
    slot_usage used = known == nullptr ? slot_usage{} : *known;
    std::uint32_t& count = exchange->long_running ? used.long_running : used.short_running;
    count += static_cast<std::uint32_t>(delta);
    if (used.total() == 0) {
        slot_usages_.erase(*target);
    } else {
        slot_usages_.put(*target, used);
    }
    target_index_.refresh(board, *target);
}

} // namespace papayafall
