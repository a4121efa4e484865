#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/admission.hpp"
#include "papayafall/core/jobs/policies/job_cost.hpp"
#include "papayafall/core/jobs/policies/placement_policy.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace papayafall::jobs {

/// Result of offering a waiting task to the workers.
enum class start_attempt : std::uint8_t {
    settled,              ///< it was started, or need not be started now
    no_room,              ///< no worker can take it now
    awaits_faster_worker, ///< it would end late on the workers that can take it now
};

/// Runs the tasks of delegated jobs on the workers of this host.
///
/// A task has at most one run that is not known to have ended, and is started again only after
/// that. If a job is answered while it still has runs, these are stopped and the job stays on the
/// board until they have ended.
class dispatch_controller : public job_controller {
  public:
    dispatch_controller(job_board& board, std::shared_ptr<const placement_policy> placement,
                        std::shared_ptr<const job_admission_policy> admission,
                        std::shared_ptr<const job_cost_policy> cost);

    std::string_view name() const noexcept override { return "dispatch"; }

    void on_event(job_board& board, const job_event& incoming, const clock_reading& now) override;
    void on_tick(job_board& board, const clock_reading& now) override;

  private:
    // jobs
    void accept_job(job_board& board, const delegation_received& received, time_point now);
    /// Answers a job, drops its waiting tasks and stops its runs.
    void finish_job(job_board& board, job_number number, job_outcome outcome, time_point now,
                    const job_refusal& refusal = {});
    /// Changes a job that has started or has been answered, and sets the time of its next review.
    void update_job(job_board& board, job_number number, time_point now,
                    const std::function<void(job_state_fields&)>& change);
    /// Removes a job whose runs have all ended.
    void erase_job(job_board& board, job_number number);
    void cancel_job(job_board& board, const job_origin& origin, time_point now);
    void cancel_job(job_board& board, const job_id& job, time_point now);
    void interrupt_jobs_of_link(job_board& board, link_number link, time_point now);
    void interrupt_all_jobs(job_board& board, time_point now);
    /// Ends the waiting jobs of a host without workers, except those that may still be admitted.
    void end_jobs_without_workers(job_board& board, time_point now);
    /// Ends the jobs with waiting tasks whose service has workers only in evacuated zones.
    void end_jobs_in_evacuated_zones(job_board& board, time_point now);
    /// Reviews the jobs whose decision deadline or last useful start has come.
    void review_due_jobs(job_board& board, time_point now);
    void review_unstarted_job(job_board& board, job_number number, time_point now);

    // admission
    /// Decides about a new job, and refuses the waiting jobs that yield to it.
    admission_decision admit(job_board& board, const job_order_fields& order,
                             const job_request& request, time_point now);
    job_request make_request(const job_board& board, const job_order_fields& order,
                             time_point now) const;
    /// Adds a job to those of which no task was started.
    void add_waiting_job(job_board& board, job_number number, const job_request& request);
    /// Removes a job from them, when it starts or is answered.
    /// @return its entry; empty if it was none of them
    std::optional<waiting_job> remove_waiting_job(job_board& board, job_number number);
    /// Refuses the jobs that have to yield so that others can meet their objectives.
    void review_queues(job_board& board, time_point now);
    void review_queue(job_board& board, const service_name& service, time_point now);
    /// Refuses a job of which no task was started.
    void refuse_job(job_board& board, job_number number, refusal_reason reason, time_point now);
    /// Counts a job that was started or refused in the share of its queue.
    void record_admission(job_board& board, const queue_name& queue, core_time work, bool started,
                          time_point now);
    core_time expected_work(const job_board& board, const job_order_fields& order) const;
    void change_backlog(job_board& board, const service_name& service, core_time started,
                        core_time unstarted);

    // tasks
    void enqueue_step(job_board& board, job_number number, std::uint32_t step);
    void enqueue_task(job_board& board, const task_ref& task);
    void dequeue_task(job_board& board, const task_ref& task);
    /// Moves the waiting tasks of a job to the group of started jobs.
    void promote_tasks(job_board& board, job_number number);
    void start_waiting_tasks(job_board& board, time_point now);
    /// Starts a run of a waiting task on a worker.
    start_attempt start_task(job_board& board, const task_ref& task, time_point now);
    placement_demand placement_demand_of(const job_board& board, const task_ref& task,
                                         time_point now) const;
    /// Keeps room for a task that fits nowhere on the worker that is expected to have it first, so
    /// that smaller tasks do not take each piece of it that becomes free.
    /// @param previous reservation before this tick, which the task keeps if it had it
    void reserve_place(const job_board& board, const task_ref& task,
                       const place_reservation& previous, time_point now);
    /// Workers that can take the task now. Workers to avoid are left out if any other worker could
    /// run the task, even if that one is busy now.
    /// A task under which workers crashed is placed alone on a worker, which then gets no other
    /// run.
    std::vector<placement_candidate> candidates_for(const job_board& board, const task_ref& task,
                                                    const job_state_fields& job,
                                                    time_point now) const;

    // runs
    void on_start_answered(job_board& board, const start_answered& answered, time_point now);
    void on_stop_answered(job_board& board, const stop_answered& answered, time_point now);
    void repeat_due_stops(job_board& board, time_point now);
    /// Updates the runs on a worker from its report. Runs that the report should list but does not
    /// are taken to have ended.
    void reconcile_runs(job_board& board, const report_received& received, time_point now);
    void update_progress(job_board& board, const active_run& reported,
                         const report_received& received, time_point now);
    void request_stop(job_board& board, const run_id& id, time_point now);
    void end_run(job_board& board, const run_id& id, run_outcome outcome, time_point now);
    void complete_task(job_board& board, const run_state& run, time_point now);
    void fail_task(job_board& board, const run_state& run, time_point now);
    /// Interrupts every job with a run on a worker that this host no longer controls.
    void interrupt_jobs_on_worker(job_board& board, const worker_id& id, time_point now);
    /// Ends the runs on a worker whose start was sent before the given time.
    void end_terminated_runs(job_board& board, const worker_runs_terminated& terminated,
                             time_point now);

    // tasks under which workers crashed
    /// Gives up the task's job if too many workers crashed under it.
    void review_crashed_task(job_board& board, const task_id& task, time_point now);
    /// Whether the task may now be started although workers crashed under it.
    bool trial_allowed(const job_board& board, const task_ref& task) const;
    /// Keeps the worker with the fewest runs free of others, so that the task can soon run alone.
    void reserve_worker(const job_board& board, const task_ref& task);
    /// Whether the worker could run the task if it were idle.
    bool suits(const job_board& board, const worker_id& id, const task_ref& task) const;

    void put_run(const run_id& id, const run_state& run);
    /// Adds a run to the load of its worker.
    /// @param added false: the run is removed instead
    void update_worker_load(job_board& board, const run_state& run, bool added);
    /// Adds the run time of a successful run to the statistics of its queue.
    void record_run_time(job_board& board, const run_state& run, time_point now);
    duration expected_run_time(const job_board& board, const queue_name& queue,
                               const job_step& step) const;

    std::shared_ptr<const placement_policy> placement_;
    std::shared_ptr<const job_admission_policy> admission_;
    std::shared_ptr<const job_cost_policy> cost_;
    cell_writer<job_number> last_job_number_;
    table_writer<job_number, job_state> jobs_;
    table_writer<job_id, job_number> jobs_by_id_;
    table_writer<job_origin, job_number> jobs_by_origin_;
    table_writer<task_ref, task_state> tasks_;
    table_writer<waiting_rank, task_ref> waiting_tasks_;
    table_writer<task_ref, waiting_rank> waiting_ranks_;
    table_writer<run_id, run_state> runs_;
    table_writer<run_id, worker_id> refused_stops_;
    table_writer<run_location, run_phase> runs_by_worker_;
    table_writer<worker_id, worker_load> worker_loads_;
    table_writer<worker_id, task_ref> trials_;
    cell_writer<worker_id> reserved_worker_;
    table_writer<queue_name, queue_statistics> run_time_statistics_;
    cell_writer<core_time> queued_work_;
    cell_writer<demand_sample> recent_demands_;
    cell_writer<place_reservation> reserved_place_;
    table_writer<waiting_job_rank, waiting_job> waiting_jobs_;
    table_writer<job_number, waiting_job_rank> waiting_job_ranks_;
    table_writer<service_name, service_backlog> backlogs_;
    cell_writer<time_point> queue_review_due_;
    table_writer<queue_name, queue_admissions> admissions_by_queue_;
    cell_writer<admission_share> admissions_;
};

/// Whether a worker crashed under the task lately, so that it may only run alone on a worker.
bool needs_trial(const job_board& board, const task_ref& task);

} // namespace papayafall::jobs
