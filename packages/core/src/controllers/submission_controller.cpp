#include "papayafall/core/controllers/submission_controller.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/identity/answer_origin.hpp"
#include "papayafall/core/identity/home.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

std::size_t size_of(const answer& result)
{
    const auto* complete = std::get_if<completion>(&result);
    if (complete == nullptr) {
        return 0;
    }
    std::size_t total = 0;
    for (const task_answer& it : (*complete)->answers) {
        total += it.body.size();
    }
    return total;
}

/// The more that may have happened, the higher.
run_state worse(run_state lhs, run_state rhs) noexcept
{
    return std::max(lhs, rhs);
}

run_state run_of(const task_result& result)
{
    const auto* reason = std::get_if<failure>(&result);
    return reason == nullptr ? run_state::ran : reason->run;
}

/// What is known about the tasks of an open submission, from results and work in progress.
run_state evidence(const blackboard& board, submission_id id)
{
    run_state run = run_state::not_run;
    const home_owner first{.submission = id, .index = 0};
    for (auto it = board.task_results.lower_bound(first);
         it != board.task_results.end() && it->key.submission == id; ++it) {
        run = worse(run, run_of(it->value));
    }
    const auto running = board.exchanges_by_owner.lower_bound(first);
    if (running != board.exchanges_by_owner.end()) {
        const auto* owner = std::get_if<home_owner>(&running->key);
        if (owner != nullptr && owner->submission == id) {
            return run_state::unknown;
        }
    }
    for (auto it = board.ranks_by_owner.lower_bound(first); it != board.ranks_by_owner.end(); ++it) {
        const auto* owner = std::get_if<home_owner>(&it->key);
        if (owner == nullptr || owner->submission != id) {
            break;
        }
        const queued_work* work = board.queue.find(it->value);
        if (work != nullptr && (*work)->may_have_run) {
            return run_state::unknown;
        }
    }
    return run;
}

failure not_found()
{
    return failure{.id = error_id::not_found,
                   .run = run_state::unknown,
                   .detail = "no record of the key is held"};
}

failure evicted(run_state run)
{
    return failure{.id = error_id::answer_evicted,
                   .run = run,
                   .detail = "the request was answered before; its answer is no longer held"};
}

/// Whether this process decides about `content`; otherwise the forwarding controller answers.
bool is_home(const blackboard& board, const request& content, time_point now)
{
    return !content->key ||
           std::holds_alternative<home_here>(locate_home(board, *content->key, now));
}

/// Applies the deadline and the urgency that the service declares where a request names none.
request with_defaults(const request& content, const configuration& current, time_point now)
{
    const auto it = current->services.find(content->service);
    if (it == current->services.end()) {
        return content;
    }
    return content.with([&](request_fields& fields) {
        if (fields.deadline == no_deadline) {
            fields.deadline = now + it->second.time_limit;
        }
        fields.urgency = fields.urgency.value_or(it->second.urgency);
    });
}

} // namespace

submission_controller::submission_controller(blackboard& board,
                                             std::shared_ptr<const admission_policy> admission)
    : admission_(std::move(admission)), numbers_(board.submission_counters.claim()),
      submissions_(board.submissions.claim()), keys_(board.submissions_by_key.claim()),
      calls_(board.submissions_by_call.claim()), results_(board.task_results.claim()), answers_(board.retained_answers.claim())
{
}

void submission_controller::on_event(blackboard& board, const event& incoming,
                                     const clock_reading& now)
{
    if (const auto* asked = std::get_if<request_received>(&incoming)) {
        receive(board, local_origin{asked->call}, asked->content, now);
    } else if (const auto* forwarded = std::get_if<forward_received>(&incoming)) {
        receive(board, forwarded->origin, forwarded->content, now);
    } else if (const auto* finished = std::get_if<work_finished>(&incoming)) {
        if (const auto* owner = std::get_if<home_owner>(&finished->owner)) {
            finish_task(board, *owner, finished->result, now);
        }
    } else if (const auto* cancelled = std::get_if<cancel_received>(&incoming)) {
        cancel(board, cancelled->origin, cancelled->key, now);
    } else if (const auto* closed = std::get_if<call_closed>(&incoming)) {
        leave(board, closed->call, now);
    }
}

void submission_controller::on_tick(blackboard& board, const clock_reading& now)
{
    expire_submissions(board, now);
}

template <typename Change>
std::uint64_t submission_controller::count(blackboard& board, Change&& change)
{
    submission_numbers numbers = board.submission_counters.get();
    const std::uint64_t given = change(numbers);
    numbers_.put(numbers);
    return given;
}

// Requests

void submission_controller::receive(blackboard& board, const request_origin& origin,
                                    const request& content, const clock_reading& now)
{
    if (!is_home(board, content, now.steady)) {
        return;
    }
    if (content->key) {
        if (const submission_id* known = board.submissions_by_key.find(*content->key)) {
            resubmit(board, *known, origin, content);
            return;
        }
    }
    const request complete = with_defaults(content, board.current_configuration.get(), now.steady);
    if (const std::optional<failure> reason = refuse_new(complete, board, now)) {
        answer_origin(board, origin, *reason);
        return;
    }
    open(board, origin, complete);
}

void submission_controller::resubmit(blackboard& board, submission_id id,
                                     const request_origin& origin, const request& content)
{
    const submission_state state = *board.submissions.find(id);
    if (state->fingerprint != content->fingerprint) {
        answer_origin(board, origin,
                      failure{.id = error_id::key_reused,
                              .run = run_state::not_run,
                              .detail = "the key was used for a different request"});
        return;
    }
    if (!state->closed) {
        submissions_.put(
            id, state.with([&](submission_state_fields& it) { it.waiters.push_back(origin); }),
            state->deadline);
        if (const auto* it = std::get_if<local_origin>(&origin)) {
            calls_.put(it->call, id);
        }
        return;
    }
    const answer* kept = board.retained_answers.find(id);
    answer_origin(board, origin, kept != nullptr ? *kept : answer(evicted(state->run)));
}

std::optional<failure> submission_controller::refuse_new(const request& content,
                                                         const blackboard& board,
                                                         const clock_reading& now) const
{
    if (content->key) {
        if (std::optional<failure> reason = check_first_use(board, *content->key, now)) {
            return reason;
        }
    }
    const self_state& self = board.self.get();
    if (self->leaving && now.steady >= self->refuse_from) {
        return failure{.id = error_id::shutting_down, .detail = "the host is shutting down"};
    }
    if (content->tasks.empty() || content->tasks.size() > max_tasks_per_job) {
        return failure{.id = error_id::too_many_tasks, .detail = "a job has 1 to 200 tasks"};
    }
    if (board.submissions.size() >= board.parameters->record_limit) {
        return failure{.id = error_id::records_full, .detail = "no room for another record"};
    }
    return admission_->evaluate(content, board, now);
}

void submission_controller::open(blackboard& board, const request_origin& origin,
                                 const request& content)
{
    const submission_id id(
        count(board, [](submission_numbers& it) { return it.next_submission++; }));
    const auto tasks = static_cast<std::uint32_t>(content->tasks.size());
    submissions_.put(id,
                     submission_state_fields{.key = content->key,
                                             .fingerprint = content->fingerprint,
                                             .service = content->service,
                                             .tasks = tasks,
                                             .unfinished_tasks = tasks,
                                             .deadline = content->deadline,
                                             .waiters = {origin}},
                     content->deadline);
    if (content->key) {
        keys_.put(*content->key, id);
    }
    if (const auto* it = std::get_if<local_origin>(&origin)) {
        calls_.put(it->call, id);
    }
    board.raised.post(submission_accepted{id, content});
}

// Cancellation

void submission_controller::cancel(blackboard& board, const request_origin& origin,
                                   const request_key& key, const clock_reading& now)
{
    const bool forwarded = std::holds_alternative<peer_origin>(origin);
    if (!forwarded && !std::holds_alternative<home_here>(locate_home(board, key, now.steady))) {
        return;
    }
    const submission_id* found = board.submissions_by_key.find(key);
    if (found == nullptr) {
        answer_origin(board, origin, not_found());
        return;
    }
    const submission_id id = *found;
    const submission_state state = *board.submissions.find(id);
    if (state->closed) {
        const answer* kept = board.retained_answers.find(id);
        answer_origin(board, origin, kept != nullptr ? *kept : answer(evicted(state->run)));
        return;
    }
    const failure reason{.id = error_id::cancelled,
                         .run = evidence(board, id),
                         .detail = "the request was cancelled"};
    answer_origin(board, origin, reason);
    fail(board, id, reason, now);
}

void submission_controller::leave(blackboard& board, call_id call, const clock_reading& now)
{
    const submission_id* found = board.submissions_by_call.find(call);
    if (found == nullptr) {
        return;
    }
    const submission_id id = *found;
    calls_.erase(call);
    const submission_state state =
        board.submissions.find(id)->with([&](submission_state_fields& it) {
            std::erase(it.waiters, request_origin(local_origin{call}));
        });
    submissions_.put(id, state, state->deadline);
    if (!state->key && state->waiters.empty()) {
        fail(board, id, failure{.id = error_id::cancelled, .detail = "the caller hung up"}, now);
    }
}

// Results

void submission_controller::finish_task(blackboard& board, const home_owner& owner,
                                        const task_result& result, const clock_reading& now)
{
    const submission_state* found = board.submissions.find(owner.submission);
    if (found == nullptr || board.task_results.contains(owner)) {
        return;
    }
    if ((*found)->closed) {
        keep_late_answer(board, owner.submission, result);
        return;
    }
    results_.put(owner, result);
    const submission_state state =
        found->with([](submission_state_fields& it) { it.unfinished_tasks -= 1; });
    submissions_.put(owner.submission, state, state->deadline);
    if (const auto* reason = std::get_if<failure>(&result)) {
        fail(board, owner.submission, *reason, now);
        return;
    }
    if (state->unfinished_tasks == 0) {
        complete(board, owner.submission, now);
    }
}

void submission_controller::complete(blackboard& board, submission_id id, const clock_reading& now)
{
    completion_fields fields;
    for (auto it = board.task_results.lower_bound(home_owner{.submission = id});
         it != board.task_results.end() && it->key.submission == id; ++it) {
        fields.answers.push_back(std::get<task_answer>(it->value));
    }
    ensure(fields.answers.size() == (*board.submissions.find(id))->tasks,
           "a complete answer has one answer for each task");
    close(board, id, completion(std::move(fields)), run_state::ran, now);
}

void submission_controller::fail(blackboard& board, submission_id id, const failure& reason,
                                 const clock_reading& now)
{
    failure whole = reason;
    whole.run = worse(reason.run, evidence(board, id));
    close(board, id, whole, whole.run, now);
}

void submission_controller::close(blackboard& board, submission_id id, const answer& result,
                                  run_state run, const clock_reading& now)
{
    const submission_state state = *board.submissions.find(id);
    for (const request_origin& it : state->waiters) {
        answer_origin(board, it, result);
        if (const auto* local = std::get_if<local_origin>(&it)) {
            calls_.erase(local->call);
        }
    }
    for (std::uint32_t n = 0; n < state->tasks; ++n) {
        results_.erase(home_owner{.submission = id, .index = n});
    }
    board.raised.post(submission_closed{id});
    if (!state->key || run == run_state::not_run) {
        erase(board, id);
        return;
    }
    const time_point until = now.steady + board.parameters->record_retention;
    submissions_.put(id, state.with([&](submission_state_fields& it) {
        it.closed = true;
        it.deadline = until;
        it.run = run;
        it.waiters.clear();
    }),
                     until);
    keep_answer(board, id, result, until);
}

void submission_controller::erase(blackboard& board, submission_id id)
{
    const submission_state* state = board.submissions.find(id);
    if ((*state)->key) {
        keys_.erase(*(*state)->key);
    }
    drop_answer(board, id);
    submissions_.erase(id);
}

void submission_controller::keep_answer(blackboard& board, submission_id id, const answer& result,
                                        time_point until)
{
    count(board, [&](submission_numbers& it) { return it.answer_bytes += size_of(result); });
    answers_.put(id, result, until);
    while (board.submission_counters.get().answer_bytes > board.parameters->answer_bytes_limit) {
        const auto oldest = board.retained_answers.expired(no_deadline);
        if (!oldest) {
            break;
        }
        drop_answer(board, *oldest);
    }
}

void submission_controller::keep_late_answer(blackboard& board, submission_id id,
                                             const task_result& result)
{
    const submission_state state = *board.submissions.find(id);
    const auto* given = std::get_if<task_answer>(&result);
    if (given == nullptr || state->tasks != 1 || state->run != run_state::unknown) {
        return;
    }
    const time_point until = state->deadline;
    submissions_.put(id, state.with([](submission_state_fields& it) { it.run = run_state::ran; }),
                     until);
    drop_answer(board, id);
    keep_answer(board, id, completion(completion_fields{.answers = {*given}}), until);
}

void submission_controller::drop_answer(blackboard& board, submission_id id)
{
    const answer* kept = board.retained_answers.find(id);
    if (kept == nullptr) {
        return;
    }
    count(board, [&](submission_numbers& it) { return it.answer_bytes -= size_of(*kept); });
    answers_.erase(id);
}

void submission_controller::expire_submissions(blackboard& board, const clock_reading& now)
{
    while (const auto id = board.submissions.expired(now.steady)) {
        if ((*board.submissions.find(*id))->closed) {
            erase(board, *id);
            continue;
        }
        fail(board, *id,
             failure{.id = error_id::deadline_passed,
                     .detail = "the deadline passed before the work ended"},
             now);
    }
}

} // namespace papayafall
