#include "papayafall/core/jobs/values/worker.hpp"

#include <algorithm>

namespace papayafall::jobs {

bool worker_fields::has_label(const label_name& wanted) const
{
    return std::find(labels.begin(), labels.end(), wanted) != labels.end();
}

const char* to_string(run_end it) noexcept
{
    switch (it) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::unknown:
        break;
    }
    return "unknown";
}

} // namespace papayafall::jobs
