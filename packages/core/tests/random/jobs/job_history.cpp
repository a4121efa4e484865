#include "random/jobs/job_history.hpp"

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <utility>

namespace papayafall::random_runs {

namespace {

/// Lines that are kept for the report of a failure.
constexpr std::size_t kept_notes = 2000;

std::string text_of(time_point now)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                   .count()) +
           " ms";
}

std::string text_of(const jobs::run_name& run)
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
    ++record.open;
    note("submitted " + job->id.text() + " attempt " + std::to_string(attempt), now);
}

void job_history::answered(const jobs::job_id& job, std::uint64_t attempt,
                           jobs::job_outcome outcome, time_point now)
{
    note("answered " + job.text() + " attempt " + std::to_string(attempt) + " " +
             to_string(outcome),
         now);
    job_record& record = jobs_.at(job);
    --record.open;
    ++outcomes_[outcome];
    if (outcome == jobs::job_outcome::refused) {
        ++record.refused;
        if (record.refused == record.attempts && record.starts > 0) {
            fail("a task of a job whose every attempt was refused had started: " + job.text(), now);
        }
    }
    if (outcome != jobs::job_outcome::succeeded) {
        return;
    }
    record.succeeded = true;
    for (std::uint32_t step = 0; step < record.job->steps.size(); ++step) {
        for (std::uint32_t index = 0; index < record.job->steps[step].count; ++index) {
            if (!record.done.contains({step, index})) {
                fail("a job is shown as succeeded without the end of a task: " + job.text(), now);
            }
        }
    }
}

void job_history::disconnected(const jobs::job_id& job, std::uint64_t /*attempt*/)
{
    --jobs_.at(job).open;
}

void job_history::started(const jobs::worker_id& at, const jobs::run_name& run, time_point now)
{
    note("started " + text_of(run) + " at " + at.text(), now);
    ++starts_;
    const auto found = jobs_.find(run.job);
    if (found == jobs_.end()) {
        fail("a task started that nobody submitted: " + text_of(run), now);
    }
    job_record& record = found->second;
    ++record.starts;
    if (record.open == 0 && record.refused == record.attempts) {
        fail("a task started after every attempt was refused: " + text_of(run), now);
    }
    if (const auto other = record.running.find({run.step, run.task});
        other != record.running.end()) {
        fail("two runs of a task at the same time: " + text_of(run) + " at " + at.text() +
                 ", and #" + std::to_string(other->second.second) + " at " +
                 other->second.first.text(),
             now);
    }
    record.running[{run.step, run.task}] = {at, run.number};
    for (const std::uint32_t before : record.job->steps.at(run.step).after) {
        for (std::uint32_t index = 0; index < record.job->steps[before].count; ++index) {
            if (!record.done.contains({before, index})) {
                fail("a task started before a step that it waits for was done: " + text_of(run),
                     now);
            }
        }
    }
}

void job_history::ended(const jobs::worker_id& at, const jobs::run_name& run, jobs::run_end how,
                        time_point now)
{
    note("ended " + text_of(run) + " at " + at.text() + " " + to_string(how), now);
    job_record& record = jobs_.at(run.job);
    const auto found = record.running.find({run.step, run.task});
    if (found != record.running.end() && found->second == std::pair(at, run.number)) {
        record.running.erase(found);
    }
    if (how == jobs::run_end::done) {
        record.done.insert({run.step, run.task});
    }
}

void job_history::used(const jobs::worker_id& at, const jobs::resources& in_use,
                       const jobs::resources& room, time_point now)
{
    if (!in_use.fits(room)) {
        fail("a worker has more to do than it has room for: " + at.text(), now);
    }
}

void job_history::finish(time_point now)
{
    for (const auto& [id, record] : jobs_) {
        if (record.open > 0) {
            fail("an attempt was never answered: " + id.text(), now);
        }
        if (!record.running.empty()) {
            fail("a run goes on although every attempt is over: " + id.text(), now);
        }
    }
}

void job_history::note(std::string line, time_point now)
{
    notes_.push_back(text_of(now) + " " + std::move(line));
    if (notes_.size() > kept_notes) {
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
    std::string text = "at " + text_of(now) + ": " + what;
    for (const std::string& it : notes_) {
        text += "\n    " + it;
    }
    throw std::runtime_error(text);
}

} // namespace papayafall::random_runs
