#include "papayafall/core/controllers/submission_controller.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/identity/answer_origin.hpp"
#include "papayafall/core/identity/home.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

/// Returns the total size of the bodies in an answer; zero for a failure.
std::size_t body_bytes(const answer& result)
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

/// Returns the less certain of two run states, in the order `not_run`, `ran`, `unknown`.
run_state less_certain(run_state lhs, run_state rhs) noexcept
{
    return std::max(lhs, rhs);
}

run_state run_state_of(const task_result& result)
{
    const auto* reason = std::get_if<failure>(&result);
    return reason == nullptr ? run_state::ran : reason->run;
}

/// Returns what is known about the run state of an open submission, from the results of its tasks
/// and its work in progress.
run_state known_run_state(const blackboard& board, submission_id id)
{
    run_state run = run_state::not_run;
    const home_owner first{.submission = id, .index = 0};
    for (auto it = board.task_results.lower_bound(first);
         it != board.task_results.end() && it->key.submission == id; ++it) {
        run = less_certain(run, run_state_of(it->value));
    }
    const auto running = board.exchanges_by_owner.lower_bound(first);
    if (running != board.exchanges_by_owner.end()) {
        const auto* owner = std::get_if<home_owner>(&running->key);
        if (owner != nullptr && owner->submission == id) {
            return run_state::unknown;
        }
    }
    for (auto it = board.ranks_by_owner.lower_bound(first); it != board.ranks_by_owner.end();
         ++it) {
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

failure not_found_failure()
{
    return failure{.id = error_id::not_found,
                   .run = run_state::unknown,
                   .detail = "no record of the key is stored"};
}

failure evicted_failure(run_state run)
{
    return failure{.id = error_id::answer_evicted,
                   .run = run,
                   .detail =
                       "the request was already answered, but its answer is no longer stored"};
}

/// Returns whether this process is the home of `content`; otherwise `forwarding_controller` handles
/// it. A request without a key is homed where it arrives.
bool is_home(const blackboard& board, const request& content, time_point now)
{
    return !content->key ||
           std::holds_alternative<local_home>(locate_home(board, *content->key, now));
}

/// Returns the request with the deadline and the urgency of its service if it specifies none.
request with_service_defaults(const request& content, const configuration& current, time_point now)
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
    : admission_(std::move(admission)), counters_(board.submission_counters.claim()),
      submissions_(board.submissions.claim()),
      submissions_by_key_(board.submissions_by_key.claim()),
      submissions_by_call_(board.submissions_by_call.claim()),
      task_results_(board.task_results.claim()), retained_answers_(board.retained_answers.claim())
{
}

void submission_controller::on_event(blackboard& board, const event& incoming,
                                     const clock_reading& now)
{
    if (const auto* received = std::get_if<request_received>(&incoming)) {
        handle_request(board, local_origin{received->call}, received->content, now);
    } else if (const auto* forwarded = std::get_if<forward_received>(&incoming)) {
        handle_request(board, forwarded->origin, forwarded->content, now);
    } else if (const auto* finished = std::get_if<work_finished>(&incoming)) {
        if (const auto* owner = std::get_if<home_owner>(&finished->owner)) {
            record_result(board, *owner, finished->result, now);
        }
    } else if (const auto* cancelled = std::get_if<cancel_received>(&incoming)) {
        cancel_submission(board, cancelled->origin, cancelled->key, now);
    } else if (const auto* closed = std::get_if<call_closed>(&incoming)) {
        handle_closed_call(board, closed->call, now);
    }
}

void submission_controller::on_tick(blackboard& board, const clock_reading& now)
{
    expire_submissions(board, now);
}

template <typename Change>
std::uint64_t submission_controller::update_counters(blackboard& board, Change&& change)
{
    submission_numbers counters = board.submission_counters.get();
    const std::uint64_t updated = change(counters);
    counters_.put(counters);
    return updated;
}

// New requests and resubmissions

void submission_controller::handle_request(blackboard& board, const request_origin& origin,
                                           const request& content, const clock_reading& now)
{
    if (!is_home(board, content, now.steady)) {
        return;
    }
    if (content->key) {
        if (const submission_id* known = board.submissions_by_key.find(*content->key)) {
            handle_resubmission(board, *known, origin, content);
            return;
        }
    }
    const request complete =
        with_service_defaults(content, board.current_configuration.get(), now.steady);
    if (const std::optional<failure> reason = check_new_submission(complete, board, now)) {
        answer_origin(board, origin, *reason);
        return;
    }
    create_submission(board, origin, complete);
}

void submission_controller::handle_resubmission(blackboard& board, submission_id id,
                                                const request_origin& origin,
                                                const request& content)
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
            submissions_by_call_.put(it->call, id);
        }
        return;
    }
    const answer* stored = board.retained_answers.find(id);
    answer_origin(board, origin, stored != nullptr ? *stored : answer(evicted_failure(state->run)));
}

std::optional<failure> submission_controller::check_new_submission(const request& content,
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
        return failure{.id = error_id::too_many_tasks, .detail = "a job must have 1 to 200 tasks"};
    }
    if (board.submissions.size() >= board.parameters->record_limit) {
        return failure{.id = error_id::records_full,
                       .detail = "the maximum number of submission records is reached"};
    }
    return admission_->evaluate(content, board, now);
}

void submission_controller::create_submission(blackboard& board, const request_origin& origin,
                                              const request& content)
{
    const submission_id id(
        update_counters(board, [](submission_numbers& it) { return it.next_submission++; }));
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
        submissions_by_key_.put(*content->key, id);
    }
    if (const auto* it = std::get_if<local_origin>(&origin)) {
        submissions_by_call_.put(it->call, id);
    }
    board.raised.post(submission_accepted{id, content});
}

// Cancellations and closed calls

void submission_controller::cancel_submission(blackboard& board, const request_origin& origin,
                                              const request_key& key, const clock_reading& now)
{
    const bool forwarded = std::holds_alternative<peer_origin>(origin);
    if (!forwarded && !std::holds_alternative<local_home>(locate_home(board, key, now.steady))) {
        return;
    }
    const submission_id* found = board.submissions_by_key.find(key);
    if (found == nullptr) {
        answer_origin(board, origin, not_found_failure());
        return;
    }
    const submission_id id = *found;
    const submission_state state = *board.submissions.find(id);
    if (state->closed) {
        const answer* stored = board.retained_answers.find(id);
        answer_origin(board, origin,
                      stored != nullptr ? *stored : answer(evicted_failure(state->run)));
        return;
    }
    const failure reason{.id = error_id::cancelled,
                         .run = known_run_state(board, id),
                         .detail = "the request was cancelled"};
    answer_origin(board, origin, reason);
    fail_submission(board, id, reason, now);
}

void submission_controller::handle_closed_call(blackboard& board, call_id call,
                                               const clock_reading& now)
{
    const submission_id* found = board.submissions_by_call.find(call);
    if (found == nullptr) {
        return;
    }
    const submission_id id = *found;
    submissions_by_call_.erase(call);
    const submission_state state =
        board.submissions.find(id)->with([&](submission_state_fields& it) {
            std::erase(it.waiters, request_origin(local_origin{call}));
        });
    submissions_.put(id, state, state->deadline);
    if (!state->key && state->waiters.empty()) {
        fail_submission(
            board, id,
            failure{.id = error_id::cancelled, .detail = "the caller closed the connection"}, now);
    }
}

// Results and closed submissions

void submission_controller::record_result(blackboard& board, const home_owner& owner,
                                          const task_result& result, const clock_reading& now)
{
    const submission_state* found = board.submissions.find(owner.submission);
    if (found == nullptr || board.task_results.contains(owner)) {
        return;
    }
    if ((*found)->closed) {
        store_late_answer(board, owner.submission, result);
        return;
    }
    task_results_.put(owner, result);
    const submission_state state =
        found->with([](submission_state_fields& it) { it.unfinished_tasks -= 1; });
    submissions_.put(owner.submission, state, state->deadline);
    if (const auto* reason = std::get_if<failure>(&result)) {
        fail_submission(board, owner.submission, *reason, now);
        return;
    }
    if (state->unfinished_tasks == 0) {
        complete_submission(board, owner.submission, now);
    }
}

void submission_controller::complete_submission(blackboard& board, submission_id id,
                                                const clock_reading& now)
{
    completion_fields fields;
    for (auto it = board.task_results.lower_bound(home_owner{.submission = id});
         it != board.task_results.end() && it->key.submission == id; ++it) {
        fields.answers.push_back(std::get<task_answer>(it->value));
    }
    ensure(fields.answers.size() == (*board.submissions.find(id))->tasks,
           "a completed submission has exactly one answer for each task");
    close_submission(board, id, completion(std::move(fields)), run_state::ran, now);
}

void submission_controller::fail_submission(blackboard& board, submission_id id,
                                            const failure& reason, const clock_reading& now)
{
    failure reported = reason;
    reported.run = less_certain(reason.run, known_run_state(board, id));
    close_submission(board, id, reported, reported.run, now);
}

void submission_controller::close_submission(blackboard& board, submission_id id,
                                             const answer& result, run_state run,
                                             const clock_reading& now)
{
    const submission_state state = *board.submissions.find(id);
    for (const request_origin& it : state->waiters) {
        answer_origin(board, it, result);
        if (const auto* local = std::get_if<local_origin>(&it)) {
            submissions_by_call_.erase(local->call);
        }
    }
    for (std::uint32_t n = 0; n < state->tasks; ++n) {
        task_results_.erase(home_owner{.submission = id, .index = n});
    }
    board.raised.post(submission_closed{id});
    if (!state->key || run == run_state::not_run) {
        erase_submission(board, id);
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
    store_answer(board, id, result, until);
}

void submission_controller::erase_submission(blackboard& board, submission_id id)
{
    const submission_state* state = board.submissions.find(id);
    if ((*state)->key) {
        submissions_by_key_.erase(*(*state)->key);
    }
    erase_answer(board, id);
    submissions_.erase(id);
}

void submission_controller::store_answer(blackboard& board, submission_id id, const answer& result,
                                         time_point until)
{
    update_counters(board,
                    [&](submission_numbers& it) { return it.answer_bytes += body_bytes(result); });
    retained_answers_.put(id, result, until);
    while (board.submission_counters.get().answer_bytes > board.parameters->answer_bytes_limit) {
        const auto oldest = board.retained_answers.expired(no_deadline);
        if (!oldest) {
            break;
        }
        erase_answer(board, *oldest);
    }
}

void submission_controller::store_late_answer(blackboard& board, submission_id id,
                                              const task_result& result)
{
    const submission_state state = *board.submissions.find(id);
    const auto* late_answer = std::get_if<task_answer>(&result);
    if (late_answer == nullptr || state->tasks != 1 || state->run != run_state::unknown) {
        return;
    }
    const time_point until = state->deadline;
    submissions_.put(id, state.with([](submission_state_fields& it) { it.run = run_state::ran; }),
                     until);
    erase_answer(board, id);
    store_answer(board, id, completion(completion_fields{.answers = {*late_answer}}), until);
}

void submission_controller::erase_answer(blackboard& board, submission_id id)
{
    const answer* stored = board.retained_answers.find(id);
    if (stored == nullptr) {
        return;
    }
    update_counters(board,
                    [&](submission_numbers& it) { return it.answer_bytes -= body_bytes(*stored); });
    retained_answers_.erase(id);
}

void submission_controller::expire_submissions(blackboard& board, const clock_reading& now)
{
    while (const auto id = board.submissions.expired(now.steady)) {
        if ((*board.submissions.find(*id))->closed) {
            erase_submission(board, *id);
            continue;
        }
        fail_submission(board, *id,
                        failure{.id = error_id::deadline_passed,
                                .detail = "the deadline passed before the work ended"},
                        now);
    }
}

} // namespace papayafall
