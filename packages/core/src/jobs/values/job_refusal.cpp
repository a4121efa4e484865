#include "papayafall/core/jobs/values/job_refusal.hpp"

namespace papayafall::jobs {

const char* to_string(refusal_reason it) noexcept
{
    switch (it) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::no_workers:
        return "no_workers";
    case refusal_reason::objective_missed:
        return "objective_missed";
    case refusal_reason::displaced:
        return "displaced";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::no_dispatcher:
        return "no_dispatcher";
    case refusal_reason::dispatcher_unlinked:
        return "dispatcher_unlinked";
    case refusal_reason::cancelled:
        return "cancelled";
    case refusal_reason::caller_gone:
        return "caller_gone";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::no_configuration:
        return "no_configuration";
    case refusal_reason::unsupported_kind:
        break;
    }
    return "unsupported_kind";
}

} // namespace papayafall::jobs
