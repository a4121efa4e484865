#pragma once

#include "random/jobs/job_history.hpp"
#include "random/schedule.hpp"

#include "papayafall/core/jobs/messages/job_action.hpp"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace papayafall::random_runs {

/// A worker as the platform's pages describe it: one lease for all that runs, by a steady clock of
/// its own that may be slow; numbered ends; the highest token and run number that it has seen.
class worker_model {
  public:
    using start_reply = std::function<void(jobs::start_result)>;
    using report_reply = std::function<void(std::variant<jobs::worker_report, jobs::call_failure>)>;

    worker_model(jobs::worker_fields entry, bool enforces_capacity, schedule& time, dice& rng,
                 job_history& history);
    worker_model(const worker_model&) = delete;
    worker_model& operator=(const worker_model&) = delete;
    ~worker_model() = default;

    const jobs::worker_fields& entry() const noexcept { return entry_; }

    bool up() const noexcept { return up_; }

    /// Changes with each crash and each start.
    std::uint64_t generation() const noexcept { return generation_; }

    jobs::start_result start(const jobs::start_run& order);
    /// Whether the worker took the order; else its token was too low.
    bool stop(const jobs::stop_run& order);
    void report(const jobs::fetch_report& call, const report_reply& reply);

    /// The process is gone, and what ran with it.
    void crash();
    /// It starts again under the same id, with nothing of its former life.
    void restart();

    void set_draining(bool draining) { entry_.draining = draining; }

  private:
    /// A task: job, step and index.
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
        time_point until;
        report_reply reply;
    };

    jobs::worker_time clock() const;
    bool accepts(jobs::fencing_token token);
    void extend(const std::optional<jobs::worker_time>& until);
    void end(const task_key& task, jobs::run_outcome outcome);
    void advance(std::uint64_t generation);
    void answer_reports();
    jobs::worker_report make_report(std::uint64_t acknowledged_end) const;
    jobs::resources in_use() const;

    jobs::worker_fields entry_;
    bool enforces_capacity_;
    schedule& time_;
    dice& rng_;
    job_history& history_;
    bool up_ = false;
    std::uint64_t generation_ = 0;
    time_point booted_at_{};
    std::int64_t clock_rate_percent_ = 100; ///< of its clock
    jobs::worker_time lease_until_;
    jobs::fencing_token highest_token_;
    std::map<task_key, run> runs_;
    std::map<task_key, std::uint64_t> highest_closed_run_numbers_; ///< highest stopped or ended
    std::list<jobs::ended_run> ended_runs_;
    std::uint64_t last_sequence_ = 0;
    std::list<pending_report> pending_reports_;
};

/// What the payload of a job says about its tasks: run time in milliseconds, and need.
std::string payload_of(std::uint64_t run_ms, const jobs::resources& need);

} // namespace papayafall::random_runs
