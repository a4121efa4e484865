#include "random/jobs/job_history.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <utility>

namespace papayafall::random_runs {

namespace {

/// Number of lines that are printed with a failure.
constexpr std::size_t max_notes = 2000;
/// Time that linked hosts need to tell one another of a cancelled job and to stop it.
constexpr duration max_cancellation_time = std::chrono::seconds(3);

std::string to_text(time_point now)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                   .count()) +
           " ms";
}

std::string to_text(const jobs::run_id& run)
{
    return run.job.text() + "." + std::to_string(run.step) + "." + std::to_string(run.task) + "#" +
           std::to_string(run.number);
}

} // namespace

void job_history::submitted(const jobs::job_spec& job, std::uint64_t attempt, time_point now)
{
    job_record& record = jobs_[job->id];
    record.job = job;
    ++record.attempts;
    ++record.open_attempts;
    note("submitted " + job->id.text() + " attempt " + std::to_string(attempt), now);
}

void job_history::answered(const jobs::job_id& job, std::uint64_t attempt,
                           jobs::job_outcome outcome, time_point now)
{
    note("answered " + job.text() + " attempt " + std::to_string(attempt) + " " +
             to_string(outcome),
         now);
    job_record& record = jobs_.at(job);
    --record.open_attempts;
    ++outcomes_[outcome];
    if (outcome == jobs::job_outcome::refused) {
        ++record.refused_attempts;
        if (record.refused_attempts == record.attempts && record.starts > 0) {
            fail("all attempts of a job were refused, but a task was started: " + job.text(), now);
        }
    }
    if (outcome != jobs::job_outcome::succeeded) {
        return;
    }
    record.succeeded = true;
    for (std::uint32_t step = 0; step < record.job->steps.size(); ++step) {
        for (std::uint32_t index = 0; index < record.job->steps[step].count; ++index) {
            if (!record.done_tasks.contains({step, index})) {
                fail("a job was answered as succeeded, but a task is not done: " + job.text(), now);
            }
        }
    }
}

void job_history::cancelled(const jobs::job_id& job, time_point now)
{
    note("cancelled " + job.text(), now);
    job_record& record = jobs_.at(job);
    record.cancelled_at = std::min(record.cancelled_at, now);
}

void job_history::hosts_disturbed(time_point until)
{
    hosts_disturbed_until_ = std::max(hosts_disturbed_until_, until);
}

void job_history::host_ended(const std::string& host, time_point now)
{
    note("end of " + host, now);
    const bool others_know = now >= hosts_disturbed_until_ + max_cancellation_time;
    for (auto& [id, record] : jobs_) {
        if (record.cancelled_at == no_deadline) {
            continue;
        }
        if (!others_know || now < record.cancelled_at + max_cancellation_time) {
            record.cancelled_at = no_deadline;
        }
    }
}

void job_history::disconnected(const jobs::job_id& job, std::uint64_t /*attempt*/)
{
    --jobs_.at(job).open_attempts;
}

void job_history::started(const jobs::worker_id& worker, const jobs::run_id& run, time_point now)
{
    note("started " + to_text(run) + " at " + worker.text(), now);
    ++starts_;
    const auto found = jobs_.find(run.job);
    if (found == jobs_.end()) {
        fail("a task of a job that was never submitted was started: " + to_text(run), now);
    }
    job_record& record = found->second;
    ++record.starts;
    if (record.open_attempts == 0 && record.refused_attempts == record.attempts) {
        fail("a task was started after all attempts were refused: " + to_text(run), now);
    }
    if (const auto other = record.running_runs.find({run.step, run.task});
        other != record.running_runs.end()) {
        fail("two concurrent runs of a task: " + to_text(run) + " at " + worker.text() + ", and #" +
                 std::to_string(other->second.second) + " at " + other->second.first.text(),
             now);
    }
    if (record.cancelled_at != no_deadline &&
        now >= std::max(record.cancelled_at, hosts_disturbed_until_) + max_cancellation_time) {
        fail("a task of a cancelled job was started: " + to_text(run), now);
    }
    record.running_runs[{run.step, run.task}] = {worker, run.number};
    for (const std::uint32_t predecessor : record.job->steps.at(run.step).predecessors) {
        for (std::uint32_t index = 0; index < record.job->steps[predecessor].count; ++index) {
            if (!record.done_tasks.contains({predecessor, index})) {
                fail("a task was started before a preceding step was done: " + to_text(run), now);
            }
        }
    }
}

void job_history::worker_crashed(const jobs::run_id& run, time_point now)
{
    // Two crashes, and as many on hosts that were cut off or killed before they had passed them on.
    constexpr std::uint32_t max_crashes = 4;
    note("crash by " + to_text(run), now);
    ++crashes_;
    if (++jobs_.at(run.job).crashes > max_crashes) {
        fail("a task crashed one worker after the other: " + to_text(run), now);
    }
}

void job_history::ended(const jobs::worker_id& worker, const jobs::run_id& run,
                        jobs::run_outcome outcome, time_point now)
{
    note("ended " + to_text(run) + " at " + worker.text() + " " + to_string(outcome), now);
    job_record& record = jobs_.at(run.job);
    const auto found = record.running_runs.find({run.step, run.task});
    if (found != record.running_runs.end() && found->second == std::pair(worker, run.number)) {
        record.running_runs.erase(found);
    }
    if (outcome == jobs::run_outcome::done) {
        record.done_tasks.insert({run.step, run.task});
    }
}

void job_history::check_label(const jobs::worker_fields& entry, const jobs::label_name& required,
                              time_point now) const
{
    if (!required.empty() && !entry.has_label(required)) {
        fail("a task was started without the label that it requires: " + entry.id.text(), now);
    }
}

void job_history::check_capacity(const jobs::worker_id& worker, const jobs::resources& in_use,
                                 const jobs::resources& capacity, time_point now)
{
    if (!in_use.fits(capacity)) {
        fail("the runs on a worker exceed its capacity: " + worker.text(), now);
    }
}

void job_history::finish(time_point now)
{
    for (const auto& [id, record] : jobs_) {
        if (record.open_attempts > 0) {
            fail("an attempt was never answered: " + id.text(), now);
        }
        if (!record.running_runs.empty()) {
            fail("a run is in progress after the end of all attempts: " + id.text(), now);
        }
    }
}

void job_history::note(std::string line, time_point now)
{
    notes_.push_back(to_text(now) + " " + std::move(line));
    if (notes_.size() > max_notes) {
        notes_.pop_front();
    }
}

std::uint64_t job_history::served() const noexcept
{
    std::uint64_t n = 0;
    for (const auto& [id, record] : jobs_) {
        n += record.succeeded ? 1 : 0;
    }
    return n;
}

void job_history::fail(const std::string& what, time_point now) const
{
    std::string text = "at " + to_text(now) + ": " + what;
    for (const std::string& it : notes_) {
        text += "\n    " + it;
    }
    throw std::runtime_error(text);
}

} // namespace papayafall::random_runs
