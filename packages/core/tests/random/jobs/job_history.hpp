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

/// What callers and workers of one randomised run saw, checked as it happens.
///
/// @throws std::runtime_error from whatever breaks a rule, with the last lines of the run
class job_history {
  public:
    /// A caller sent a job, for the first time or again.
    void submitted(const jobs::job_spec& job, std::uint64_t attempt, time_point now);
    void answered(const jobs::job_id& job, std::uint64_t attempt, jobs::job_outcome outcome,
                  time_point now);
    /// The connection of an attempt ended without an answer.
    void disconnected(const jobs::job_id& job, std::uint64_t attempt);

    /// A worker began a run.
    void started(const jobs::worker_id& worker, const jobs::run_id& run, time_point now);
    /// A run is over, by its end or with its worker.
    void ended(const jobs::worker_id& worker, const jobs::run_id& run, jobs::run_outcome outcome,
               time_point now);
    /// What a worker that does not guard its room has in use.
    void check_capacity(const jobs::worker_id& worker, const jobs::resources& in_use,
                        const jobs::resources& capacity, time_point now);

    /// Checks what holds once nothing is open any more.
    void finish(time_point now);

    /// Keeps a line for the report of a failure.
    void note(std::string line, time_point now);

    std::uint64_t starts() const noexcept { return starts_; }

    const std::map<jobs::job_outcome, std::uint64_t>& outcomes() const noexcept
    {
        return outcomes_;
    }

    /// Jobs that were answered with success, by any attempt.
    std::uint64_t served() const noexcept;

  private:
    struct job_record {
        jobs::job_spec job;
        std::uint64_t attempts = 0;
        std::uint64_t open_attempts = 0;
        std::uint64_t refused_attempts = 0;
        std::uint64_t starts = 0;
        bool succeeded = false;
        std::set<std::pair<std::uint32_t, std::uint32_t>> done_tasks; ///< tasks: step and index
        /// Runs that go on, by task.
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<jobs::worker_id, std::uint64_t>>
            running_runs;
    };

    [[noreturn]] void fail(const std::string& what, time_point now) const;

    std::map<jobs::job_id, job_record> jobs_;
    std::map<jobs::job_outcome, std::uint64_t> outcomes_;
    std::deque<std::string> notes_;
    std::uint64_t starts_ = 0;
};

} // namespace papayafall::random_runs
