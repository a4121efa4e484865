#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/admission.hpp"
#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"

#include <memory>

namespace papayafall::jobs {

/// Accepts callers' jobs, finds a dispatcher for each and answers when the job has ended.
///
/// A job that was delegated and whose dispatcher is lost is answered as interrupted: the dispatcher
/// stops its runs, or they lapse, before the caller's next attempt may arrive.
class intake_controller : public job_controller {
  public:
    intake_controller(job_board& board,
                      std::shared_ptr<const dispatcher_selection_policy> selection,
                      std::shared_ptr<const job_admission_policy> admission);

    std::string_view name() const noexcept override { return "intake"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    void submit(job_board& board, const job_submitted& submitted, time_point now);
    void ask_queue(job_board& board, const queue_length_requested& asked);
    void ask_job(job_board& board, const job_status_requested& asked, time_point now);
    void abandon(job_board& board, call_id call);
    void lose_peer(job_board& board, const host_name& host, time_point now);
    void interrupt_all(job_board& board, time_point now);
    void take_answer(job_board& board, const delegation_answered& answered, time_point now);
    void place(job_board& board, call_id call, const accepted_call& accepted, time_point now);
    void withdraw(job_board& board, const accepted_call& accepted);
    void finish(job_board& board, call_id call, job_outcome outcome, const char* decided_by,
                time_point now);

    std::shared_ptr<const dispatcher_selection_policy> selection_;
    std::shared_ptr<const job_admission_policy> admission_;
    cell_writer<delegation_id> last_delegation_;
    table_writer<call_id, accepted_call> calls_;
    table_writer<delegation_id, call_id> delegations_;
};

} // namespace papayafall::jobs
