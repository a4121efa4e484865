#include "papayafall/core/jobs/values/job.hpp"

#include <algorithm>

namespace papayafall::jobs {

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
