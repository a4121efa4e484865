#include "papayafall/core/jobs/policies/least_cost_admission.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <tuple>

namespace papayafall::jobs {

namespace {

/// Fraction of the objective after which an admitted job keeps its place.
constexpr double decision_fraction = 0.18;
/// Fraction of a job's slack that is left for declared run times that are too short, and for tasks
/// that take longer than the others of their job.
constexpr double kept_slack_fraction = 0.1;
/// Fraction of the expected run time that a task takes on a fast worker.
constexpr double fast_run_fraction = 0.7;
/// Cost of a new job over that of the jobs that it displaces, from which it is worth that these
/// have waited in vain.
constexpr double min_cost_ratio = 1.25;
/// Number of late jobs for which a place is sought in one pass, to bound the time that it takes.
constexpr std::size_t max_late_jobs = 16;

duration fraction_of(duration it, double fraction)
{
    return std::chrono::duration_cast<duration>(it * fraction);
}

/// Plan of the starts of the jobs in a queue.
class start_plan {
  public:
    /// @param request job to be inserted, or nullptr
    start_plan(const queue_forecast& queue, const job_request* request)
        : queue_(queue), request_(request)
    {
        entries_.reserve(queue.jobs.size() + 1);
        for (const queued_job& it : queue.jobs) {
            if (request != nullptr && !inserted_ &&
                std::tie(request->job.group, request->job.start_by) <
                    std::tie(it.group, it.start_by)) {
                insert_request();
            }
            entries_.push_back({it});
        }
        if (request != nullptr && !inserted_) {
            insert_request();
        }
    }

    /// Removes the cheapest jobs until no job starts too late.
    /// @return false if the requested job would start too late, or make another one do so
    bool remove_excess()
    {
        // Waiting work up to the current entry, without and with the requested job.
        std::int64_t former_work = queue_.started_work.microseconds;
        std::int64_t work = former_work;
        std::size_t late_jobs = 0;
        for (std::size_t n = 0; n < entries_.size(); ++n) {
            const entry& it = entries_[n];
            const std::int64_t own_work = own_work_of(it, work);
            if (it.requested && n + 1 == entries_.size()) {
                work += queue_.work_beyond.microseconds; // its place among them is not known
            }
            const time_point start = start_of(it, work);
            if (it.requested) {
                expected_start_ = start;
            }
            if (start <= it.job.start_by) {
                work += it.job.work.microseconds;
                former_work += it.requested ? 0 : it.job.work.microseconds;
                continue;
            }
            const bool late_before =
                !it.requested && queue_.starts_at({former_work + own_work}) > it.job.start_by;
            const bool caused_by_request = request_ != nullptr && !late_before;
            const std::vector<std::size_t> yielding =
                ++late_jobs > max_late_jobs || (request_ != nullptr && late_before)
                    ? std::vector<std::size_t>()
                    : cheapest_removal(n, work + own_work);
            if (yielding.empty() && caused_by_request) {
                return false;
            }
            work += it.job.work.microseconds;
            former_work += it.requested ? 0 : it.job.work.microseconds;
            for (const std::size_t other : yielding) {
                entries_[other].removed = true;
                work -= entries_[other].job.work.microseconds;
                former_work -= entries_[other].job.work.microseconds;
            }
            if (it.requested) {
                expected_start_ = start_of(it, work - it.job.work.microseconds);
            }
        }
        return true;
    }

    std::vector<job_number> removed_jobs() const
    {
        std::vector<job_number> found;
        for (const entry& it : entries_) {
            if (it.removed) {
                found.push_back(it.job.number);
            }
        }
        return found;
    }

    double removed_cost() const
    {
        double sum = 0;
        for (const entry& it : entries_) {
            sum += it.removed ? it.job.cost : 0;
        }
        return sum;
    }

    time_point expected_start() const { return expected_start_; }

  private:
    struct entry {
        queued_job job;
        bool requested = false;
        bool removed = false;
    };

    void insert_request()
    {
        inserted_ = true;
        entries_.push_back({.job = request_->job, .requested = true});
    }

    /// Work of the job that has to start before its last task. A job with no other ahead of it gets
    /// the next places, however wide it is.
    std::int64_t own_work_of(const entry& it, std::int64_t work_ahead) const
    {
        if (it.requested) {
            return request_->unplaced_work.microseconds;
        }
        return work_ahead > 0 ? it.job.work.microseconds : 0;
    }

    time_point start_of(const entry& it, std::int64_t work_ahead) const
    {
        const time_point start = queue_.starts_at({work_ahead + own_work_of(it, work_ahead)});
        return it.requested ? std::max(start, request_->room_at) : start;
    }

    bool may_remove(std::size_t n) const
    {
        const entry& it = entries_[n];
        return it.job.may_yield && !it.requested && !it.removed;
    }

    /// Cheapest jobs without which the job at `late` starts in time.
    /// @param work waiting work up to and including that job
    /// @return empty if there are none
    std::vector<std::size_t> cheapest_removal(std::size_t late, std::int64_t work) const
    {
        const entry& it = entries_[late];
        if (it.requested && request_->room_at > it.job.start_by) {
            return {}; // the room that is missing is taken by running tasks
        }
        const auto wait = static_cast<double>((it.job.start_by - queue_.now).count());
        const std::int64_t excess =
            work - static_cast<std::int64_t>(wait * static_cast<double>(queue_.cpu_millis) / 1000);
        std::vector<std::size_t> best = cheapest_set(late, excess);
        if (may_remove(late) && (best.empty() || it.job.cost <= cost_of(best))) {
            return {late};
        }
        return best;
    }

    /// Jobs before `end` with at least the given work, chosen by cost for their work.
    std::vector<std::size_t> cheapest_set(std::size_t end, std::int64_t work) const
    {
        std::vector<std::size_t> candidates;
        std::optional<std::size_t> single;
        for (std::size_t n = 0; n < end; ++n) {
            if (!may_remove(n)) {
                continue;
            }
            candidates.push_back(n);
            const queued_job& job = entries_[n].job;
            if (job.work.microseconds >= work &&
                (!single || job.cost < entries_[*single].job.cost)) {
                single = n;
            }
        }
        std::stable_sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) {
            return cost_density(a) < cost_density(b);
        });
        std::vector<std::size_t> chosen;
        std::int64_t sum = 0;
        for (const std::size_t it : candidates) {
            if (sum >= work) {
                break;
            }
            chosen.push_back(it);
            sum += entries_[it].job.work.microseconds;
        }
        if (sum < work) {
            return {};
        }
        // The last ones may make some of the first superfluous.
        std::erase_if(chosen, [&](std::size_t it) {
            const std::int64_t own = entries_[it].job.work.microseconds;
            const bool superfluous = sum - own >= work;
            sum -= superfluous ? own : 0;
            return superfluous;
        });
        if (single && entries_[*single].job.cost < cost_of(chosen)) {
            return {*single};
        }
        return chosen;
    }

    double cost_density(std::size_t n) const
    {
        const queued_job& it = entries_[n].job;
        return it.cost / static_cast<double>(std::max<std::int64_t>(it.work.microseconds, 1));
    }

    double cost_of(const std::vector<std::size_t>& chosen) const
    {
        double sum = 0;
        for (const std::size_t it : chosen) {
            sum += entries_[it].job.cost;
        }
        return sum;
    }

    const queue_forecast& queue_;
    const job_request* request_;
    std::vector<entry> entries_;
    bool inserted_ = false;
    time_point expected_start_ = no_deadline;
};

} // namespace

admission_decision least_cost_admission::decide(const job_request& request,
                                                const queue_forecast& queue) const
{
    start_plan plan(queue, &request);
    const bool fits = plan.remove_excess();
    const bool worth_it =
        request.underserved || plan.removed_cost() * min_cost_ratio <= request.job.cost;
    if (!fits || !worth_it) {
        return {.reason = refusal_reason::objective_missed,
                .expected_start = plan.expected_start()};
    }
    return {.expected_start = plan.expected_start(), .displaced = plan.removed_jobs()};
}

std::vector<job_number> least_cost_admission::excess_jobs(const queue_forecast& queue) const
{
    start_plan plan(queue, nullptr);
    plan.remove_excess();
    return plan.removed_jobs();
}

time_point least_cost_admission::latest_start(const job_order_fields& order,
                                              duration run_time) const
{
    const time_point last_start = order.objective_deadline - run_time;
    const duration slack = std::max(last_start - order.received_at, duration{});
    return last_start - fraction_of(slack, kept_slack_fraction);
}

time_point least_cost_admission::decision_deadline(const job_order_fields& order) const
{
    const duration objective = order.objective_deadline - order.received_at;
    return order.received_at + fraction_of(objective, decision_fraction);
}

time_point least_cost_admission::give_up_at(const job_order_fields& order, duration run_time) const
{
    const time_point last_start =
        order.objective_deadline - fraction_of(run_time, fast_run_fraction);
    return std::min(std::max(last_start, decision_deadline(order)), order.expires_at);
}

} // namespace papayafall::jobs
