#pragma once

#include "random/jobs/job_history.hpp"
#include "random/scheduler.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace papayafall::random_runs {

/// Model of a worker as the platform's documentation describes it: one lease for all its runs,
/// measured on its own steady clock, which may be slow; a sequence number for each ended run; and
/// rejection of calls with an outdated fencing token or run number.
class worker_model {
  public:
    using start_reply = std::function<void(jobs::start_result)>;
    using report_reply = std::function<void(std::variant<jobs::worker_report, jobs::call_failure>)>;

    /// @param enforces_capacity whether the worker rejects runs that exceed its free capacity
    /// @param crash             called when a task crashes the worker; has to call `crash`
    worker_model(jobs::worker_fields entry, bool enforces_capacity, scheduler& time,
                 random_source& rng, job_history& history,
                 std::function<void(worker_model&)> crash);
    worker_model(const worker_model&) = delete;
    worker_model& operator=(const worker_model&) = delete;
    ~worker_model() = default;

    const jobs::worker_fields& entry() const noexcept { return entry_; }

    bool up() const noexcept { return up_; }

    /// Whether connections to it are rejected while its process runs on.
    bool rejects_connections() const noexcept { return rejects_connections_; }

    void set_rejects_connections(bool rejects) { rejects_connections_ = rejects; }

    /// Changes with every crash and every restart.
    std::uint64_t generation() const noexcept { return generation_; }

    /// Starts a run unless the token, the lease, the run number or the capacity forbids it.
    jobs::start_result start(const jobs::start_run& request);
    /// Returns false if the fencing token is too low.
    bool stop(const jobs::stop_run& request);
    /// Answers the call when a run has ended, or after the time that the call allows.
    void report(const jobs::fetch_report& call, const report_reply& reply);

    /// Ends the process, all its runs and its connections.
    void crash();
    /// Starts the process again under the same id, without any earlier state.
    void restart();

    void set_draining(bool draining) { entry_.draining = draining; }

  private:
    /// Identifies a task by job, step and index.
    using task_key = std::tuple<jobs::job_id, std::uint32_t, std::uint32_t>;

    struct run {
        jobs::run_id id;
        jobs::resources need;
        time_point started_at;
        time_point ends_at;
        jobs::run_outcome outcome = jobs::run_outcome::done;
    };

    struct pending_report {
        std::uint64_t acknowledged_end = 0;
        time_point until; ///< when it is answered at the latest
        report_reply reply;
    };

    jobs::worker_time clock() const;
    bool accepts(jobs::fencing_token token);
    void extend_lease(const std::optional<jobs::worker_time>& until);
    void end_run(const task_key& task, jobs::run_outcome outcome);
    void advance(std::uint64_t generation);
    void answer_reports();
    jobs::worker_report make_report(std::uint64_t acknowledged_end) const;
    jobs::resources in_use() const;

    jobs::worker_fields entry_;
    bool enforces_capacity_;
    scheduler& time_;
    random_source& rng_;
    job_history& history_;
    std::function<void(worker_model&)> crash_;
    bool up_ = false;
    bool rejects_connections_ = false;
    std::uint64_t generation_ = 0;
    time_point booted_at_{};
    std::int64_t clock_rate_percent_ = 100; ///< speed of its clock relative to the virtual time
    jobs::worker_time lease_until_;
    jobs::fencing_token highest_token_;
    std::map<task_key, run> runs_;
    /// Highest number of a stopped or ended run.
    std::map<task_key, std::uint64_t> highest_closed_run_numbers_;
    std::list<jobs::ended_run> ended_runs_;
    std::uint64_t last_sequence_ = 0;
    std::list<pending_report> pending_reports_;
};

/// Encodes run time and resources of a job's tasks as the payload of the job.
///
/// @param run_ms  run time in milliseconds
/// @param crashes whether the first task of the job crashes each worker that starts it
/// @param required_label label that the worker must have; empty: any
std::string payload_of(std::uint64_t run_ms, const jobs::resources& need, bool crashes,
                       const jobs::label_name& required_label);

/// Labels of the two kinds of workers.
jobs::label_name worker_kind(bool large);

} // namespace papayafall::random_runs
