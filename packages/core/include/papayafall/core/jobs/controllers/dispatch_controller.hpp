#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/admission.hpp"
#include "papayafall/core/jobs/policies/placement_policy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// Runs the tasks of delegated jobs on the workers of this host.
///
/// A task has at most one run that is not known to be over; only then it is started again. A job
/// that is answered early has its runs stopped, and counts until they are over.
class dispatch_controller : public job_controller {
  public:
    dispatch_controller(job_board& board, std::shared_ptr<const placement_policy> placement,
                        std::shared_ptr<const job_admission_policy> admission);

    std::string_view name() const noexcept override { return "dispatch"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    // jobs
    void accept(job_board& board, const delegation_received& received, time_point now);
    std::optional<job_outcome> refusal(job_board& board, const job_order_fields& order,
                                       time_point now) const;
    void finish(job_board& board, job_number number, job_outcome outcome, time_point now);
    /// Changes a job of which something was started, or which is answered.
    void change_job(job_board& board, job_number number, time_point now,
                    const std::function<void(job_state_fields&)>& change);
    /// Lets go of a job whose runs are all over.
    void forget(job_board& board, job_number number);
    void withdraw(job_board& board, const job_origin& origin, time_point now);
    void lose_link(job_board& board, link_number link, time_point now);
    void drop_everything(job_board& board, time_point now);
    /// Ends the jobs that wait while this host has no workers.
    void give_back(job_board& board, time_point now);
    void decide_waiting(job_board& board, time_point now);

    // tasks
    void enqueue_step(job_board& board, job_number number, std::uint32_t step);
    void enqueue(job_board& board, const task_ref& task);
    void dequeue(job_board& board, const task_ref& task);
    void start_waiting(job_board& board, time_point now);
    bool start(job_board& board, const task_ref& task, time_point now);
    std::vector<placement_candidate> candidates_for(const job_board& board, const task_ref& task,
                                                    const job_state_fields& job,
                                                    time_point now) const;

    // runs
    void start_answer(job_board& board, const start_answered& answered, time_point now);
    void stop_answer(job_board& board, const stop_answered& answered, time_point now);
    void reconcile(job_board& board, const report_received& received, time_point now);
    void progress(job_board& board, const run_id& name, std::uint32_t percent,
                  time_point report_sent_at, time_point now);
    void stop(job_board& board, const run_id& name, time_point now);
    void over(job_board& board, const run_id& name, run_outcome how, time_point now);
    void task_done(job_board& board, const run_state& run, time_point now);
    void task_failed(job_board& board, const run_state& run, time_point now);
    void lose_worker(job_board& board, const worker_id& at, time_point now);
    void empty_worker(job_board& board, const worker_id& at, time_point ordered_before,
                      time_point now);

    void put_run(const run_id& name, const run_state& run);
    void occupy(job_board& board, const run_state& run, bool added);
    void learn(job_board& board, const run_state& run, time_point now);
    duration expected_run_time(const job_board& board, const queue_name& queue,
                               const job_step& step) const;

    std::shared_ptr<const placement_policy> placement_;
    std::shared_ptr<const job_admission_policy> admission_;
    cell_writer<job_number> last_job_;
    table_writer<job_number, job_state> jobs_;
    table_writer<job_id, job_number> jobs_by_id_;
    table_writer<job_origin, job_number> jobs_by_origin_;
    table_writer<task_ref, task_state> tasks_;
    table_writer<waiting_rank, task_ref> waiting_;
    table_writer<task_ref, waiting_rank> waiting_ranks_;
    table_writer<run_id, run_state> runs_;
    table_writer<run_location, run_phase> runs_by_worker_;
    table_writer<worker_id, worker_load> loads_;
    table_writer<queue_name, queue_statistics> statistics_;
    cell_writer<core_time> queued_work_;
};

} // namespace papayafall::jobs
