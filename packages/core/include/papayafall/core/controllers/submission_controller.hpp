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
    void receive(blackboard& board, const request_origin& origin, const request& content,
                 const clock_reading& now);
    void resubmit(blackboard& board, submission_id id, const request_origin& origin,
                  const request& content);
    void open(blackboard& board, const request_origin& origin, const request& content);
    std::optional<failure> refuse_new(const request& content, const blackboard& board,
                                      const clock_reading& now) const;

    void cancel(blackboard& board, const request_origin& origin, const request_key& key,
                const clock_reading& now);
    void leave(blackboard& board, call_id call, const clock_reading& now);

    void finish_task(blackboard& board, const home_owner& owner, const task_result& result,
                     const clock_reading& now);
    void complete(blackboard& board, submission_id id, const clock_reading& now);
    void fail(blackboard& board, submission_id id, const failure& reason, const clock_reading& now);
    void close(blackboard& board, submission_id id, const answer& result, run_state run,
               const clock_reading& now);
    void erase(blackboard& board, submission_id id);
    void keep_answer(blackboard& board, submission_id id, const answer& result, time_point until);
    /// Replaces an unknown outcome by the answer that came after the submission was closed.
    void keep_late_answer(blackboard& board, submission_id id, const task_result& result);
    void drop_answer(blackboard& board, submission_id id);

    void expire_submissions(blackboard& board, const clock_reading& now);

    template <typename Change>
    std::uint64_t count(blackboard& board, Change&& change);

    std::shared_ptr<const admission_policy> admission_;
    cell_writer<submission_numbers> numbers_;
    table_writer<submission_id, submission_state> submissions_;
    table_writer<request_key, submission_id> keys_;
    table_writer<call_id, submission_id> calls_;
    table_writer<home_owner, task_result> results_;
    table_writer<submission_id, answer> answers_;
};

} // namespace papayafall
