#include "random/jobs/worker_model.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_lease{1000};
constexpr duration advance_period = milliseconds(10);
/// Time after its start in which a task crashes its worker.
constexpr duration time_to_crash = milliseconds(15);
/// Share of runs that fail because of their task.
constexpr std::uint64_t failing_run_percent = 3;

milliseconds in_milliseconds(duration it)
{
    return std::chrono::duration_cast<milliseconds>(it);
}

} // namespace

std::string payload_of(std::uint64_t run_ms, const jobs::resources& need, bool crashes,
                       const jobs::label_name& required_label)
{
    return std::to_string(run_ms) + " " + std::to_string(need.cpu_millis) + " " +
           std::to_string(need.memory_mb) + (crashes ? " 1 " : " 0 ") + required_label.text();
}

jobs::label_name worker_kind(bool large)
{
    return jobs::label_name(large ? "large" : "small");
}

worker_model::worker_model(jobs::worker_fields entry, bool enforces_capacity, scheduler& time,
                           random_source& rng, job_history& history,
                           std::function<void(worker_model&)> crash)
    : entry_(std::move(entry)), enforces_capacity_(enforces_capacity), time_(time), rng_(rng),
      history_(history), crash_(std::move(crash))
{
    restart();
}

jobs::worker_time worker_model::clock() const
{
    return {in_milliseconds((time_.now() - booted_at_) * clock_rate_percent_ / 100).count()};
}

bool worker_model::accepts(jobs::fencing_token token)
{
    if (token < highest_token_) {
        return false;
    }
    highest_token_ = token;
    return true;
}

void worker_model::extend_lease(const std::optional<jobs::worker_time>& until)
{
    if (until) {
        lease_until_ = std::max(lease_until_, std::min(*until, clock() + max_lease));
    }
}

jobs::start_result worker_model::start(const jobs::start_run& request)
{
    if (request.worker_started_at_ms != entry_.started_at_ms) {
        return jobs::start_result::other_instance;
    }
    if (!accepts(request.to.token)) {
        return jobs::start_result::fenced;
    }
    if (request.lease_until <= clock()) {
        return jobs::start_result::lease_expired;
    }
    extend_lease(request.lease_until);
    const task_key task{request.run.job, request.run.step, request.run.task};
    if (const auto it = highest_closed_run_numbers_.find(task);
        it != highest_closed_run_numbers_.end() && request.run.number <= it->second) {
        return jobs::start_result::outdated;
    }
    if (runs_.contains(task)) {
        return runs_.at(task).id.number == request.run.number ? jobs::start_result::accepted
                                                              : jobs::start_result::outdated;
    }
    std::istringstream payload(request.payload);
    std::uint64_t run_ms = 0;
    jobs::resources need;
    bool job_crashes = false;
    std::string required_label;
    payload >> run_ms >> need.cpu_millis >> need.memory_mb >> job_crashes >> required_label;
    history_.check_label(entry_, jobs::label_name(required_label), time_.now());
    const bool crashes = job_crashes && request.run.step == 0 && request.run.task == 0;
    if (enforces_capacity_ && !(in_use() + need).fits(entry_.capacity)) {
        return jobs::start_result::insufficient_capacity;
    }
    runs_[task] = {.id = request.run,
                   .need = need,
                   .started_at = time_.now(),
                   .ends_at = time_.now() + milliseconds(run_ms),
                   .outcome = rng_.percent(failing_run_percent) ? jobs::run_outcome::failed
                                                                : jobs::run_outcome::done};
    if (crashes) {
        runs_[task].ends_at = time_.now() + time_to_crash;
        runs_[task].outcome = jobs::run_outcome::worker_crashed;
    }
    history_.started(entry_.id, request.run, time_.now());
    if (!enforces_capacity_) {
        history_.check_capacity(entry_.id, in_use(), entry_.capacity, time_.now());
    }
    return jobs::start_result::accepted;
}

bool worker_model::stop(const jobs::stop_run& request)
{
    if (!accepts(request.to.token)) {
        return false;
    }
    const task_key task{request.run.job, request.run.step, request.run.task};
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.id.number <= request.run.number) {
        // The next call of `advance` after that ends the run, within the 50 ms that a stop may
        // take.
        it->second.ends_at = std::min(it->second.ends_at, time_.now() + rng_.milliseconds(0, 35));
        it->second.outcome = jobs::run_outcome::stopped;
    }
    highest_closed_run_numbers_[task] =
        std::max(highest_closed_run_numbers_[task], request.run.number);
    answer_reports();
    return true;
}

void worker_model::report(const jobs::fetch_report& call, const report_reply& reply)
{
    if (!accepts(call.to.token)) {
        reply(jobs::call_failure::fenced);
        return;
    }
    extend_lease(call.lease_until);
    ended_runs_.remove_if(
        [&](const jobs::ended_run& it) { return it.sequence <= call.acknowledged_end; });
    pending_reports_.push_back({call.acknowledged_end, time_.now() + call.max_wait, reply});
    answer_reports();
}

void worker_model::crash()
{
    for (const auto& [task, it] : runs_) {
        history_.ended(entry_.id, it.id, jobs::run_outcome::broken, time_.now());
    }
    history_.note("crash of " + entry_.id.text(), time_.now());
    runs_.clear();
    up_ = false;
    ++generation_;
    // The connections end with the process.
    for (const pending_report& it : std::exchange(pending_reports_, {})) {
        it.reply(jobs::call_failure::connection_lost);
    }
}

void worker_model::restart()
{
    up_ = true;
    ++generation_;
    booted_at_ = time_.now();
    entry_.started_at_ms = in_milliseconds(time_.now().time_since_epoch()).count() + 1;
    entry_.labels = {worker_kind(rng_.percent(50))};
    clock_rate_percent_ = static_cast<std::int64_t>(rng_.between(98, 100));
    lease_until_ = {};
    highest_token_ = {};
    highest_closed_run_numbers_.clear();
    ended_runs_.clear();
    last_sequence_ = 0;
    advance(generation_);
}

void worker_model::end_run(const task_key& task, jobs::run_outcome outcome)
{
    const run ended = runs_.at(task);
    runs_.erase(task);
    highest_closed_run_numbers_[task] =
        std::max(highest_closed_run_numbers_[task], ended.id.number);
    ended_runs_.push_back({++last_sequence_, ended.id, outcome});
    history_.ended(entry_.id, ended.id, outcome, time_.now());
}

void worker_model::advance(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    const bool lapsed = lease_until_ <= clock();
    std::vector<std::pair<task_key, jobs::run_outcome>> finished;
    for (const auto& [task, it] : runs_) {
        if (it.ends_at <= time_.now()) {
            finished.emplace_back(task, it.outcome);
        } else if (lapsed) {
            finished.emplace_back(task, jobs::run_outcome::lease_expired);
        }
    }
    for (const auto& [task, outcome] : finished) {
        if (outcome == jobs::run_outcome::worker_crashed) {
            history_.worker_crashed(runs_.at(task).id, time_.now());
            crash_(*this);
            return;
        }
        end_run(task, outcome);
    }
    answer_reports();
    time_.after(advance_period, [this, generation] { advance(generation); });
}

void worker_model::answer_reports()
{
    std::list<pending_report> due;
    for (auto it = pending_reports_.begin(); it != pending_reports_.end();) {
        const auto next = std::next(it);
        if (last_sequence_ > it->acknowledged_end || time_.now() >= it->until) {
            due.splice(due.end(), pending_reports_, it);
        }
        it = next;
    }
    for (const pending_report& it : due) {
        it.reply(make_report(it.acknowledged_end));
    }
}

jobs::worker_report worker_model::make_report(std::uint64_t acknowledged_end) const
{
    jobs::worker_report report{.started_at_ms = entry_.started_at_ms, .clock = clock()};
    for (const auto& [task, it] : runs_) {
        const auto percent =
            (time_.now() - it.started_at) * 100 / std::max(it.ends_at - it.started_at, duration(1));
        report.running.push_back({it.id, static_cast<std::uint32_t>(percent)});
    }
    for (const jobs::ended_run& it : ended_runs_) {
        if (it.sequence > acknowledged_end) {
            report.ended.push_back(it);
        }
    }
    return report;
}

jobs::resources worker_model::in_use() const
{
    jobs::resources sum;
    for (const auto& [task, it] : runs_) {
        sum = sum + it.need;
    }
    return sum;
}

} // namespace papayafall::random_runs
