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
/// keys, results and kept answers, and the requests forwarded to other homes. A submission that
/// is not homed here is forwarded and never started here. A key seen again attaches to the open
/// submission or gets the kept answer.
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
    void receive_at_home(blackboard& board, const request_origin& origin, const request& content,
                         const clock_reading& now);
    void resubmit(blackboard& board, submission_id id, const request_origin& origin,
                  const request& content);
    void open(blackboard& board, const request_origin& origin, const request& content);
    std::optional<failure> refuse_new(const request& content, const blackboard& board,
                                      const clock_reading& now) const;

    void forward(blackboard& board, const forward_state& state, const home_at_peer& home,
                 time_point now);
    void forward_failed_again(blackboard& board, correlation_id correlation, time_point now);
    void finish_forward(blackboard& board, correlation_id correlation, const answer& result);

    void cancel(blackboard& board, const request_origin& origin, const request_key& key,
                const clock_reading& now);
    void cancel_at_home(blackboard& board, const request_origin& origin, const request_key& key,
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
    void drop_answer(blackboard& board, submission_id id);

    void issue(blackboard& board, const tickets_requested& asked, time_point now);
    void expire_tickets(blackboard& board, time_point now);
    void expire_submissions(blackboard& board, const clock_reading& now);
    void expire_forwards(blackboard& board, time_point now);

    template <typename Change>
    std::uint64_t count(blackboard& board, Change&& change);

    std::shared_ptr<const admission_policy> admission_;
    cell_writer<submission_numbers> numbers_;
    table_writer<std::uint64_t, time_point> ticket_marks_;
    table_writer<submission_id, submission_state> submissions_;
    table_writer<request_key, submission_id> keys_;
    table_writer<call_id, submission_id> calls_;
    table_writer<home_owner, task_result> results_;
    table_writer<submission_id, answer> answers_;
    table_writer<correlation_id, forward_state> forwards_;
};

} // namespace papayafall
