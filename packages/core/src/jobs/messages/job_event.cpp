#include "papayafall/core/jobs/messages/job_event.hpp"

#include "papayafall/core/jobs/state/worker_state.hpp"

namespace papayafall::jobs {

const char* to_string(start_result it) noexcept
{
    switch (it) {
    case start_result::accepted:
        return "accepted";
    case start_result::fenced:
        return "fenced";
    case start_result::outdated:
        return "outdated";
    case start_result::lease_expired:
        return "too_late";
    case start_result::insufficient_capacity:
        return "no_room";
    case start_result::connection_refused:
        return "refused";
    case start_result::not_ready:
        return "not_ready";
    case start_result::other_instance:
        return "other_life";
    case start_result::rejected:
        return "rejected";
    case start_result::unanswered:
        break;
    }
    return "unanswered";
}

const char* to_string(call_failure it) noexcept
{
    switch (it) {
    case call_failure::connection_refused:
        return "refused";
    case call_failure::connection_lost:
        return "broken";
    case call_failure::timed_out:
        return "timed_out";
    case call_failure::fenced:
        return "fenced";
    case call_failure::other_instance:
        return "other_life";
    case call_failure::not_ready:
        break;
    }
    return "not_ready";
}

const char* to_string(session_phase it) noexcept
{
    switch (it) {
    case session_phase::awaiting_release:
        return "awaiting_release";
    case session_phase::probing:
        return "looking";
    case session_phase::stopping_strays:
        return "clearing";
    case session_phase::ready:
        return "ready";
    case session_phase::unreachable:
        break;
    }
    return "unreachable";
}

} // namespace papayafall::jobs
