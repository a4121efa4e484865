#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/identity/home.hpp"
#include "papayafall/core/policies/admission_policy.hpp"

#include <memory>

namespace papayafall {

/// Decides, at the home of a submission, whether its tasks may start, and combines their results
/// into one answer.
///
/// Reads membership, seats, configuration and the work in progress; writes the submissions, their
/// keys, results and stored answers. Submissions that are homed at a peer are left to
/// `forwarding_controller`. A resubmission with a known key waits for the open submission or gets
/// the stored answer.
class submission_controller : public controller {
  public:
    /// @param admission policy that accepts or rejects new submissions
    submission_controller(blackboard& board, std::shared_ptr<const admission_policy> admission);

    std::string_view name() const noexcept override { return "submission"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    /// Handles a request that is homed here: a resubmission, or a new submission to accept or
    /// reject.
    void handle_request(blackboard& board, const request_origin& origin, const request& content,
                        const clock_reading& now);
    /// Handles a request whose key is known: rejects a different request under the same key, adds a
    /// waiter to an open submission, or answers with the stored answer.
    void handle_resubmission(blackboard& board, submission_id id, const request_origin& origin,
                             const request& content);
    /// Records an accepted submission and raises `submission_accepted`.
    void create_submission(blackboard& board, const request_origin& origin, const request& content);
    /// Checks whether a new submission may start work.
    /// @return the failure to answer with, or nothing if it may
    std::optional<failure> check_new_submission(const request& content, const blackboard& board,
                                                const clock_reading& now) const;

    /// Cancels an open submission, or returns the stored answer of a closed one.
    void cancel_submission(blackboard& board, const request_origin& origin, const request_key& key,
                           const clock_reading& now);
    /// Removes a caller that closed its connection from the waiters. A submission without a key is
    /// cancelled when its last waiter is gone.
    void handle_closed_call(blackboard& board, call_id call, const clock_reading& now);

    /// Records the result of a task and closes the submission on the first failure or when all
    /// tasks are finished.
    void record_result(blackboard& board, const home_owner& owner, const task_result& result,
                       const clock_reading& now);
    /// Closes a submission with the answers of all its tasks.
    void complete_submission(blackboard& board, submission_id id, const clock_reading& now);
    /// Closes a submission with `reason`, extended by what is known about its other tasks.
    void fail_submission(blackboard& board, submission_id id, const failure& reason,
                         const clock_reading& now);
    /// Answers all waiters and drops the remaining work. The record and the answer are stored for
    /// resubmissions, except if the submission has no key or did not run.
    void close_submission(blackboard& board, submission_id id, const answer& result, run_state run,
                          const clock_reading& now);
    /// Erases the record of a submission, its key and its stored answer.
    void erase_submission(blackboard& board, submission_id id);
    /// Stores an answer and evicts the oldest answers while their total size exceeds
    /// `answer_bytes_limit`.
    void store_answer(blackboard& board, submission_id id, const answer& result, time_point until);
    /// Replaces an unknown outcome by an answer that arrived after the submission was closed. Does
    /// nothing if the submission has several tasks.
    void store_late_answer(blackboard& board, submission_id id, const task_result& result);
    void erase_answer(blackboard& board, submission_id id);

    /// Erases closed submissions after their retention and fails open ones at their deadline.
    void expire_submissions(blackboard& board, const clock_reading& now);

    /// Applies `change` to the counters and returns the value that `change` returns.
    template <typename Change>
    std::uint64_t update_counters(blackboard& board, Change&& change);

    std::shared_ptr<const admission_policy> admission_;
    cell_writer<submission_numbers> counters_;
    table_writer<submission_id, submission_state> submissions_;
    table_writer<request_key, submission_id> submissions_by_key_;
    table_writer<call_id, submission_id> submissions_by_call_;
    table_writer<home_owner, task_result> task_results_;
    table_writer<submission_id, answer> retained_answers_;
};

} // namespace papayafall
