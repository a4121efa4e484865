#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"

#include <algorithm>

namespace papayafall::jobs {

namespace {

/// CPU of a job of typical size, in thousandths of a core, assumed for jobs that the last load
/// report does not include yet.
constexpr std::int64_t typical_job_cpu_millis = 95'000;
/// Time until a fully loaded dispatcher has free capacity for a job of typical size.
constexpr duration typical_job_wait = std::chrono::milliseconds(40);

/// Returns the expected wait of one more job at the dispatcher.
duration expected_wait(const dispatcher_candidate& it)
{
    const std::int64_t total = std::max<std::int64_t>(it.load.total_cpu_millis, 1);
    const std::int64_t pending = typical_job_cpu_millis * (std::int64_t{it.sent_since_report} + 1);
    const std::int64_t missing = std::max<std::int64_t>(0, pending - it.load.free_cpu_millis);
    return it.load.predicted_wait +
           typical_job_wait * missing / std::min(total, typical_job_cpu_millis * 4);
}

} // namespace

std::optional<std::size_t>
own_zone_first::choose(const std::vector<dispatcher_candidate>& candidates) const
{
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (!candidates[n].load.accepting) {
            continue;
        }
        if (!found || (candidates[n].same_zone && !candidates[*found].same_zone)) {
            found = n;
        }
    }
    return found;
}

shortest_wait::shortest_wait(duration zone_margin) : zone_margin_(zone_margin) {}

std::optional<std::size_t>
shortest_wait::choose(const std::vector<dispatcher_candidate>& candidates) const
{
    std::optional<std::size_t> found;
    duration best{};
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const dispatcher_candidate& it = candidates[n];
        if (!it.load.accepting) {
            continue;
        }
        const duration wait = expected_wait(it) + (it.same_zone ? duration{} : zone_margin_);
        if (!found || wait < best) {
            found = n;
            best = wait;
        }
    }
    return found;
}

} // namespace papayafall::jobs
