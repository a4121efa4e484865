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

struct job_run_summary {
    std::uint64_t jobs = 0;
    std::uint64_t attempts = 0;
    std::uint64_t served = 0;
    std::uint64_t starts = 0;
    std::uint64_t faults = 0;
};

/// Several dispatchers with their real cores, workers, a store and callers in virtual time, under
/// random faults. One seed gives one run.
class job_world : public answer_sink {
  public:
    explicit job_world(std::uint64_t seed);

    /// Faults and jobs for `length`, then a calm time in which everything comes to its end.
    /// @throws std::runtime_error when a rule is broken
    job_run_summary run(std::chrono::seconds length);

    void on_answer(call_id call, jobs::job_outcome outcome) override;
    void on_disconnected(call_id call) override;

  private:
    struct attempt {
        jobs::job_spec job;
        std::uint64_t number = 0;
        std::string host;
    };

    simulation_context context();
    void make_hosts();
    void make_workers();
    void schedule_submissions();
    void submit(const jobs::job_spec& job, std::uint64_t number);
    void maybe_resubmit(const attempt& former);
    jobs::job_spec make_job();
    void schedule_faults();
    void inject_fault();
    void kill_host(dispatcher_model& host);
    void cut_network_paths();
    void make_store_unavailable();
    void crash_worker();
    void clear_faults();
    dispatcher_model* random_live_host();
    worker_model& random_worker();

    dice rng_;
    schedule time_;
    network_model network_;
    store_model store_;
    job_history history_;
    std::map<jobs::worker_id, std::unique_ptr<worker_model>> workers_;
    std::map<host_name, std::unique_ptr<dispatcher_model>> hosts_;
    std::map<call_id, attempt> calls_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t faults_ = 0;
    bool delay_orders_ = false;
    bool draining_ = false;
};

} // namespace papayafall::random_runs
