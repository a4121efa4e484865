#include "papayafall/core/jobs/messages/job_action.hpp"

namespace papayafall::jobs {

const char* to_string(job_status it) noexcept
{
    switch (it) {
    case job_status::unknown:
        return "unknown";
    case job_status::running:
        return "running";
    case job_status::cancelled:
        return "cancelled";
    case job_status::no_configuration:
        return "no_configuration";
    case job_status::unknown_queue:
        return "unknown_queue";
    case job_status::undetermined:
        break;
    }
    return "undetermined";
}

} // namespace papayafall::jobs
