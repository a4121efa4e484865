#include "papayafall/core/jobs/values/job.hpp"

#include <algorithm>

namespace papayafall::jobs {

namespace {

bool is_in_range(std::int64_t amount)
{
    return amount >= 0 && amount <= max_resource_amount;
}

bool is_valid_step(const job_step& step, std::size_t position)
{
    const bool follows_earlier_steps =
        std::all_of(step.predecessors.begin(), step.predecessors.end(),
                    [position](std::uint32_t it) { return it < position; });
    return follows_earlier_steps && is_in_range(step.need.cpu_millis) &&
           is_in_range(step.need.memory_mb) && is_in_range(step.need.accelerators) &&
           step.estimated_run_time >= duration{} && step.estimated_run_time <= max_run_time;
}

} // namespace

bool is_valid(const job_spec_fields& job)
{
    std::uint64_t tasks = 0;
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        tasks += job.steps[n].count;
        if (tasks > max_job_tasks || !is_valid_step(job.steps[n], n)) {
            return false;
        }
    }
    return true;
}

duration critical_path_duration(const job_spec_fields& job)
{
    std::vector<duration> end_times;
    duration longest{};
    for (const job_step& it : job.steps) {
        duration start{};
        for (const std::uint32_t predecessor : it.predecessors) {
            if (predecessor < end_times.size()) {
                start = std::max(start, end_times[predecessor]);
            }
        }
        end_times.push_back(start + it.estimated_run_time);
        longest = std::max(longest, end_times.back());
    }
    return longest;
}

const char* to_string(job_outcome it) noexcept
{
    switch (it) {
    case job_outcome::succeeded:
        return "succeeded";
    case job_outcome::failed:
        return "failed";
    case job_outcome::refused:
        return "refused";
    case job_outcome::interrupted:
        return "interrupted";
    case job_outcome::unknown_queue:
        return "unknown_queue";
    case job_outcome::unsupported:
        return "unsupported";
    case job_outcome::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace papayafall::jobs
