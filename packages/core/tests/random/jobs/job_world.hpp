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

    surroundings around();
    void make_hosts();
    void make_workers();
    void submit_next();
    void submit(const jobs::job_spec& job, std::uint64_t number);
    void submit_again(const attempt& former);
    jobs::job_spec make_job();
    void next_fault();
    void strike();
    void end_host(dispatcher_model& host);
    void cut_some();
    void silence_store();
    void crash_worker();
    void heal();
    dispatcher_model* some_host();
    worker_model& some_worker();

    dice chance_;
    schedule time_;
    network_model network_;
    store_model store_;
    job_history seen_;
    std::map<jobs::worker_id, std::unique_ptr<worker_model>> workers_;
    std::map<host_name, std::unique_ptr<dispatcher_model>> hosts_;
    std::map<call_id, attempt> calls_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t faults_ = 0;
    bool late_orders_ = false;
    bool calm_ = false;
};

} // namespace papayafall::random_runs
