#pragma once

#include "papayafall/core/blackboard/blackboard.hpp"
#include "papayafall/core/controllers/controller.hpp"
#include "papayafall/core/identity/home.hpp"
#include "papayafall/core/policies/admission_policy.hpp"

#include <memory>

namespace papayafall {

/// Decides at a submission's home whether its tasks may start, and gathers its one answer.
///
/// Reads membership, seats, configuration and the work in progress; writes the submissions, their
/// keys, results and kept answers. A submission that is not homed here is left to the
/// forwarding controller. A key seen again attaches to the open submission or gets the kept answer.
class submission_controller : public controller {
  public:
    /// @param admission decides about new submissions at their home
    submission_controller(blackboard& board, std::shared_ptr<const admission_policy> admission);

    std::string_view name() const noexcept override { return "submission"; }

    void on_event(blackboard& board, const event& incoming, const clock_reading& now) override;
    void on_tick(blackboard& board, const clock_reading& now) override;

  private:
    void handle_request(blackboard& board, const request_origin& origin, const request& content,
                        const clock_reading& now);
    void handle_resubmission(blackboard& board, submission_id id, const request_origin& origin,
                             const request& content);
    void create_submission(blackboard& board, const request_origin& origin, const request& content);
    std::optional<failure> check_new_submission(const request& content, const blackboard& board,
                                                const clock_reading& now) const;

    void cancel_submission(blackboard& board, const request_origin& origin, const request_key& key,
                           const clock_reading& now);
    void handle_closed_call(blackboard& board, call_id call, const clock_reading& now);

    void record_result(blackboard& board, const home_owner& owner, const task_result& result,
                       const clock_reading& now);
    void complete_submission(blackboard& board, submission_id id, const clock_reading& now);
    void fail_submission(blackboard& board, submission_id id, const failure& reason,
                         const clock_reading& now);
    void close_submission(blackboard& board, submission_id id, const answer& result, run_state run,
                          const clock_reading& now);
    void erase_submission(blackboard& board, submission_id id);
    void store_answer(blackboard& board, submission_id id, const answer& result, time_point until);
    /// Replaces an unknown outcome by the answer that came after the submission was closed.
    void store_late_answer(blackboard& board, submission_id id, const task_result& result);
    void erase_answer(blackboard& board, submission_id id);

    void expire_submissions(blackboard& board, const clock_reading& now);

    template <typename Change>
    std::uint64_t update_counters(blackboard& board, Change&& change);

    std::shared_ptr<const admission_policy> admission_;
    cell_writer<submission_numbers> counters_;
    table_writer<submission_id, submission_state> submissions_;
    table_writer<request_key, submission_id> keys_;
    table_writer<call_id, submission_id> calls_;
    table_writer<home_owner, task_result> results_;
    table_writer<submission_id, answer> answers_;
};

} // namespace papayafall
