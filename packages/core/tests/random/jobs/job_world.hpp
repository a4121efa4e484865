#pragma once

#include "random/jobs/dispatcher_model.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::random_runs {

/// Totals of a simulation.
struct job_run_summary {
    std::uint64_t jobs = 0;
    std::uint64_t attempts = 0;
    std::uint64_t served = 0; ///< jobs of which an attempt succeeded
    std::uint64_t starts = 0; ///< runs that were started
    std::uint64_t faults = 0;
    std::uint64_t crashes = 0; ///< of workers, by tasks
};

/// Simulation of several dispatchers with their real cores, and of workers, a store and callers, in
/// virtual time and under random faults. The seed determines the run completely.
class job_world : public answer_sink {
  public:
    explicit job_world(std::uint64_t seed);

    /// Submits jobs and injects faults for `length`, then removes all faults and waits until all
    /// jobs have ended.
    ///
    /// @throws std::runtime_error when `job_history` detects a violation
    job_run_summary run(std::chrono::seconds length);

    void on_answer(call_id call, jobs::job_outcome outcome) override;
    void on_status(call_id call, jobs::job_status status) override;
    void on_disconnected(call_id call) override;

  private:
    /// One submission of a job.
    struct attempt {
        jobs::job_spec job;
        std::uint64_t number = 0; ///< 1 for the first submission
        std::string host;
        time_point answer_by; ///< when the caller stops waiting
    };

    /// A request of a caller to cancel a job.
    struct cancellation {
        jobs::job_spec job;
        std::uint64_t attempts = 0; ///< that are left
    };

    simulation_context context();
    void make_hosts();
    void make_workers();
    void schedule_submissions();
    void submit(const jobs::job_spec& job, std::uint64_t number);
    /// The caller cancels a job at any host.
    /// @param attempts how often it may ask again as long as it gets no definite answer
    void cancel(const jobs::job_spec& job, std::uint64_t attempts);
    /// The caller closes its connection, unless it was answered; it may submit the job again.
    void leave(call_id call, dispatcher_model& host);
    void maybe_resubmit(const attempt& previous);
    jobs::job_spec make_job();
    void schedule_faults();
    void inject_fault();
    void schedule_configuration_changes();
    void schedule_configuration_checks();
    /// Evacuates zones, and takes it back some seconds later.
    void schedule_evacuations();
    void kill_host(dispatcher_model& host);
    void cut_network_paths();
    void make_store_unavailable();
    void crash_random_worker();
    /// Rejects connections to some workers for a while; their processes go on.
    void reject_connections_to_workers();
    /// Crashes a worker and starts it again later.
    void crash_worker(worker_model& worker);
    void clear_faults();
    dispatcher_model* random_live_host();
    worker_model& random_worker();

    random_source rng_;
    scheduler time_;
    network_model network_;
    store_model store_;
    job_history history_;
    std::map<jobs::worker_id, std::unique_ptr<worker_model>> workers_;
    std::map<host_name, std::unique_ptr<dispatcher_model>> hosts_;
    std::map<call_id, attempt> calls_;
    std::map<call_id, cancellation> cancellations_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t faults_ = 0;
    bool delay_worker_calls_ = false;
    bool draining_ = false; ///< no more jobs and faults
};

} // namespace papayafall::random_runs
