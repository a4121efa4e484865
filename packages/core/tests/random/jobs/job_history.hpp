#pragma once

#include "papayafall/core/jobs/messages/job_event.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace papayafall::random_runs {

/// Records what the callers and workers of one randomised run observe, and checks it immediately.
///
/// @throws std::runtime_error from the function that detects a violation, with the last notes
class job_history {
  public:
    /// A caller submitted a job, for the first time or again.
    void submitted(const jobs::job_spec& job, std::uint64_t attempt, time_point now);
    /// An attempt was answered.
    ///
    /// Fails if the job succeeded while a task is not done, or if all attempts were refused
    /// although a task was started.
    void answered(const jobs::job_id& job, std::uint64_t attempt, jobs::job_outcome outcome,
                  time_point now);
    /// A caller was told that a job is cancelled, or that no host has it open.
    void cancelled(const jobs::job_id& job, time_point now);
    /// Hosts may be down, suspended or cut off from one another until an instant.
    void hosts_disturbed(time_point until);
    /// The process of a host ended, and with it what only this host knew of cancelled jobs.
    void host_ended(const std::string& host, time_point now);
    /// The connection of an attempt ended before the answer.
    void disconnected(const jobs::job_id& job, std::uint64_t attempt);

    /// A worker started a run.
    ///
    /// Fails if the job was never submitted, was cancelled, or all its attempts were refused, if
    /// another run of the task is in progress, or if a preceding step is not done.
    void started(const jobs::worker_id& worker, const jobs::run_id& run, time_point now);
    /// A run ended, on its own or because its worker crashed.
    void ended(const jobs::worker_id& worker, const jobs::run_id& run, jobs::run_outcome outcome,
               time_point now);
    /// A run crashed its worker.
    void worker_crashed(const jobs::run_id& run, time_point now);
    /// Fails if a worker starts a run without the label that it requires; empty: none.
    void check_label(const jobs::worker_fields& entry, const jobs::label_name& required,
                     time_point now) const;
    /// Fails if a worker that does not enforce its capacity itself uses more than that.
    void check_capacity(const jobs::worker_id& worker, const jobs::resources& in_use,
                        const jobs::resources& capacity, time_point now);

    /// Checks at the end of the simulation that every attempt was answered and no run is in
    /// progress.
    void finish(time_point now);

    /// Records a line that is printed with a later failure.
    void note(std::string line, time_point now);

    /// Reports a violation that was seen elsewhere, with the last notes.
    [[noreturn]] void fail(const std::string& what, time_point now) const;

    std::uint64_t starts() const noexcept { return starts_; }

    std::uint64_t crashes() const noexcept { return crashes_; }

    const std::map<jobs::job_outcome, std::uint64_t>& outcomes() const noexcept
    {
        return outcomes_;
    }

    /// Returns the number of jobs of which an attempt succeeded.
    std::uint64_t served() const noexcept;

  private:
    struct job_record {
        jobs::job_spec job;
        std::uint64_t attempts = 0;
        std::uint64_t open_attempts = 0;
        std::uint64_t refused_attempts = 0;
        std::uint64_t starts = 0;
        bool succeeded = false;
        std::set<std::pair<std::uint32_t, std::uint32_t>> done_tasks; ///< by step and index
        std::uint32_t crashes = 0;             ///< workers that a task of the job has crashed
        time_point cancelled_at = no_deadline; ///< when a caller was told so
        /// Runs in progress by step and index of the task: worker and run number.
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<jobs::worker_id, std::uint64_t>>
            running_runs;
    };

    std::map<jobs::job_id, job_record> jobs_;
    std::map<jobs::job_outcome, std::uint64_t> outcomes_;
    std::deque<std::string> notes_;
    std::uint64_t starts_ = 0;
    std::uint64_t crashes_ = 0;
    time_point hosts_disturbed_until_{};
};

} // namespace papayafall::random_runs
