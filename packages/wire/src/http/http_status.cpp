#include "papayafall/wire/http/http_status.hpp"

namespace papayafall {

std::uint16_t http_status(error_id id) noexcept
{
    switch (id) {
    case error_id::malformed_request:
    case error_id::invalid_key:
    case error_id::too_many_tasks:
        return 400;
    case error_id::unauthorized:
        return 401;
    case error_id::unknown_team:
        return 403;
    case error_id::unknown_service:
    case error_id::not_found:
    case error_id::plan_not_found:
        return 404;
    case error_id::key_reused:
    case error_id::cancelled:
    case error_id::plan_conflict:
    case error_id::plan_stale:
        return 409;
    case error_id::answer_evicted:
    case error_id::key_expired:
        return 410;
    case error_id::request_too_large:
        return 413;
    case error_id::invalid_settings:
    case error_id::invalid_configuration:
        return 422;
    case error_id::overloaded:
    case error_id::quota_exceeded:
    case error_id::rate_exceeded:
    case error_id::budget_exceeded:
    case error_id::records_full:
        return 429;
    case error_id::task_failed:
    case error_id::outcome_unknown:
    case error_id::home_lost:
        return 502;
    case error_id::no_target:
    case error_id::shutting_down:
    case error_id::no_home:
    case error_id::home_unreachable:
    case error_id::platform_unavailable:
        return 503;
    case error_id::deadline_passed:
        return 504;
    case error_id::malformed_message:
    case error_id::message_too_large:
    case error_id::message_not_authentic:
    case error_id::unsupported_version:
    case error_id::platform_conflict:
    case error_id::platform_protocol:
    case error_id::invariant_violated:
    case error_id::section_ownership:
        break;
    }
    return 500;
}

} // namespace papayafall
