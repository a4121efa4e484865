#include "random/jobs/worker_model.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace papayafall::random_runs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds longest_lease{1000};
constexpr duration step_period = milliseconds(10);
/// Runs that fail by their own fault, in percent.
constexpr std::uint64_t failing_share = 3;

milliseconds in_milliseconds(duration it)
{
    return std::chrono::duration_cast<milliseconds>(it);
}

} // namespace

std::string payload_of(std::uint64_t run_ms, const jobs::resources& need)
{
    return std::to_string(run_ms) + " " + std::to_string(need.cpu_millis) + " " +
           std::to_string(need.memory_mb);
}

worker_model::worker_model(jobs::worker_fields entry, bool guards, schedule& time, dice& chance,
                           job_history& seen)
    : entry_(std::move(entry)), guards_(guards), time_(time), chance_(chance), seen_(seen)
{
    restart();
}

jobs::worker_time worker_model::clock() const
{
    return {in_milliseconds((time_.now() - booted_at_) * rate_percent_ / 100).count()};
}

bool worker_model::accepts(jobs::fencing_token token)
{
    if (token < highest_token_) {
        return false;
    }
    highest_token_ = token;
    return true;
}

void worker_model::extend(const std::optional<jobs::worker_time>& until)
{
    if (until) {
        lease_until_ = std::max(lease_until_, std::min(*until, clock() + longest_lease));
    }
}

jobs::start_result worker_model::start(const jobs::start_run& order)
{
    if (!accepts(order.to.token)) {
        return jobs::start_result::fenced;
    }
    if (order.lease_until <= clock()) {
        return jobs::start_result::too_late;
    }
    extend(order.lease_until);
    const task_key task{order.run.job, order.run.step, order.run.task};
    if (const auto it = closed_numbers_.find(task);
        it != closed_numbers_.end() && order.run.number <= it->second) {
        return jobs::start_result::outdated;
    }
    if (runs_.contains(task)) {
        return runs_.at(task).name.number == order.run.number ? jobs::start_result::accepted
                                                              : jobs::start_result::outdated;
    }
    std::istringstream payload(order.payload);
    std::uint64_t run_ms = 0;
    jobs::resources need;
    payload >> run_ms >> need.cpu_millis >> need.memory_mb;
    if (guards_ && !(in_use() + need).fits(entry_.room)) {
        return jobs::start_result::no_room;
    }
    runs_[task] = {.name = order.run,
                   .need = need,
                   .started_at = time_.now(),
                   .ends_at = time_.now() + milliseconds(run_ms),
                   .how = chance_.percent(failing_share) ? jobs::run_end::failed
                                                         : jobs::run_end::done};
    seen_.started(entry_.id, order.run, time_.now());
    if (!guards_) {
        seen_.used(entry_.id, in_use(), entry_.room, time_.now());
    }
    return jobs::start_result::accepted;
}

bool worker_model::stop(const jobs::stop_run& order)
{
    if (!accepts(order.to.token)) {
        return false;
    }
    const task_key task{order.run.job, order.run.step, order.run.task};
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.name.number <= order.run.number) {
        // It ends with the step after that, within the 50 ms that a stop may take.
        it->second.ends_at =
            std::min(it->second.ends_at, time_.now() + chance_.milliseconds(0, 35));
        it->second.how = jobs::run_end::stopped;
    }
    closed_numbers_[task] = std::max(closed_numbers_[task], order.run.number);
    answer_reports();
    return true;
}

void worker_model::report(const jobs::fetch_report& call, const report_reply& reply)
{
    if (!accepts(call.to.token)) {
        reply(jobs::call_failure::fenced);
        return;
    }
    extend(call.lease_until);
    ends_.remove_if([&](const jobs::ended_run& it) { return it.number <= call.last_end; });
    reports_.push_back({call.last_end, time_.now() + call.wait, reply});
    answer_reports();
}

void worker_model::crash()
{
    for (const auto& [task, it] : runs_) {
        seen_.ended(entry_.id, it.name, jobs::run_end::broken, time_.now());
    }
    seen_.note("crash of " + entry_.id.text(), time_.now());
    runs_.clear();
    reports_.clear();
    up_ = false;
    ++life_;
}

void worker_model::restart()
{
    up_ = true;
    ++life_;
    booted_at_ = time_.now();
    entry_.born = in_milliseconds(time_.now().time_since_epoch()).count() + 1;
    rate_percent_ = static_cast<std::int64_t>(chance_.between(98, 100));
    lease_until_ = {};
    highest_token_ = {};
    closed_numbers_.clear();
    ends_.clear();
    last_end_ = 0;
    step(life_);
}

void worker_model::end(const task_key& task, jobs::run_end how)
{
    const run ended = runs_.at(task);
    runs_.erase(task);
    closed_numbers_[task] = std::max(closed_numbers_[task], ended.name.number);
    ends_.push_back({++last_end_, ended.name, how});
    seen_.ended(entry_.id, ended.name, how, time_.now());
}

void worker_model::step(std::uint64_t life)
{
    if (life != life_) {
        return;
    }
    const bool lapsed = lease_until_ <= clock();
    std::vector<std::pair<task_key, jobs::run_end>> over;
    for (const auto& [task, it] : runs_) {
        if (it.ends_at <= time_.now()) {
            over.emplace_back(task, it.how);
        } else if (lapsed) {
            over.emplace_back(task, jobs::run_end::lapsed);
        }
    }
    for (const auto& [task, how] : over) {
        end(task, how);
    }
    answer_reports();
    time_.after(step_period, [this, life] { step(life); });
}

void worker_model::answer_reports()
{
    std::list<waiting_report> due;
    for (auto it = reports_.begin(); it != reports_.end();) {
        const auto next = std::next(it);
        if (last_end_ > it->last_end || time_.now() >= it->until) {
            due.splice(due.end(), reports_, it);
        }
        it = next;
    }
    for (const waiting_report& it : due) {
        it.reply(told(it.last_end));
    }
}

jobs::worker_report worker_model::told(std::uint64_t last_end) const
{
    jobs::worker_report report{.born = entry_.born, .clock = clock()};
    for (const auto& [task, it] : runs_) {
        const auto percent =
            (time_.now() - it.started_at) * 100 / std::max(it.ends_at - it.started_at, duration(1));
        report.running.push_back({it.name, static_cast<std::uint32_t>(percent)});
    }
    for (const jobs::ended_run& it : ends_) {
        if (it.number > last_end) {
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
