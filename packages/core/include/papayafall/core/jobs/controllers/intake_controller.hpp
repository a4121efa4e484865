#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/admission.hpp"
#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"

#include <memory>

namespace papayafall::jobs {

/// Accepts callers' jobs, delegates each to a dispatcher and answers when the job has ended.
///
/// A job whose dispatcher is lost is answered as interrupted: its runs are stopped by that
/// dispatcher, or their leases lapse, before the caller's next attempt may arrive.
class intake_controller : public job_controller {
  public:
    intake_controller(job_board& board,
                      std::shared_ptr<const dispatcher_selection_policy> selection,
                      std::shared_ptr<const job_admission_policy> admission);

    std::string_view name() const noexcept override { return "intake"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void accept_call(job_board& board, const job_submitted& submitted, time_point now);
    /// Accepts the calls that came before the first configuration, or refuses those that have
    /// waited too long for it.
    void review_unmatched_calls(job_board& board, time_point now);
    void refuse_unmatched_call(job_board& board, call_id call, refusal_reason reason,
                               time_point now);
    /// Answers with the number of jobs of a queue that wait at this host.
    void report_queue_length(job_board& board, const queue_length_requested& request);
    static void report_job_status(job_board& board, const job_status_requested& request);
    void abandon_call(job_board& board, call_id call, time_point now);
    void interrupt_calls_of_peer(job_board& board, const host_name& host, time_point now);
    void interrupt_all_calls(job_board& board, time_point now);
    void cancel_calls_of_job(job_board& board, const job_id& job, time_point now);
    void on_delegation_answered(job_board& board, const delegation_answered& answered,
                                time_point now);
    /// Delegates the job of a call, or schedules another attempt if no dispatcher accepts jobs.
    void place_call(job_board& board, call_id call, const accepted_call& accepted, time_point now);
    void delegate_call(job_board& board, call_id call, const accepted_call& accepted,
                       const dispatcher_candidate& to, time_point now);
    /// Delegates a job that was refused to another dispatcher, if one has room for it.
    /// @return false if the refusal is final
    bool hand_on(job_board& board, call_id call, const accepted_call& accepted, time_point now);
    /// Tells the dispatcher of a call, if there is one, that its job is no longer wanted.
    void cancel_delegation(job_board& board, const accepted_call& accepted);
    /// @param refusal why the job was refused, as the dispatcher told it
    void answer_call(job_board& board, call_id call, job_outcome outcome, const char* decided_by,
                     time_point now, const job_refusal& refusal = {});

    std::shared_ptr<const dispatcher_selection_policy> selection_;
    std::shared_ptr<const job_admission_policy> admission_;
    cell_writer<delegation_id> last_delegation_id_;
    table_writer<call_id, unmatched_call> unmatched_calls_;
    table_writer<call_id, accepted_call> calls_;
    table_writer<delegation_id, call_id> calls_by_delegation_;
    table_writer<job_call, call_id> calls_by_job_;
};

} // namespace papayafall::jobs
