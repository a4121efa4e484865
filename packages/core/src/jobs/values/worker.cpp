#include "papayafall/core/jobs/values/worker.hpp"

#include <algorithm>

namespace papayafall::jobs {

bool worker_fields::has_label(const label_name& wanted) const
{
    return std::find(labels.begin(), labels.end(), wanted) != labels.end();
}

const char* to_string(run_outcome it) noexcept
{
    switch (it) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lease_expired:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::worker_crashed:
        return "worker_crashed";
    case run_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace papayafall::jobs
