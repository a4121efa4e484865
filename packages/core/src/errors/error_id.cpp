#include "papayafall/core/errors/error_id.hpp"

namespace papayafall {

std::string_view to_string(error_id id) noexcept
{
    switch (id) {
    case error_id::malformed_request:
        return "malformed_request";
    case error_id::unknown_service:
        return "unknown_service";
    case error_id::unknown_team:
        return "unknown_team";
    case error_id::too_many_tasks:
        return "too_many_tasks";
    case error_id::key_reused:
        return "key_reused";
    case error_id::invalid_key:
        return "invalid_key";
    case error_id::request_too_large:
        return "request_too_large";
    case error_id::unauthorized:
        return "unauthorized";
    case error_id::not_found:
        return "not_found";
    case error_id::overloaded:
        return "overloaded";
    case error_id::quota_exceeded:
        return "quota_exceeded";
    case error_id::rate_exceeded:
        return "rate_exceeded";
    case error_id::budget_exceeded:
        return "budget_exceeded";
    case error_id::no_target:
        return "no_target";
    case error_id::shutting_down:
        return "shutting_down";
    case error_id::cancelled:
        return "cancelled";
    case error_id::deadline_passed:
        return "deadline_passed";
    case error_id::records_full:
        return "records_full";
    case error_id::no_home:
        return "no_home";
    case error_id::home_unreachable:
        return "home_unreachable";
    case error_id::task_failed:
        return "task_failed";
    case error_id::outcome_unknown:
        return "outcome_unknown";
    case error_id::home_lost:
        return "home_lost";
    case error_id::answer_evicted:
        return "answer_evicted";
    case error_id::key_expired:
        return "key_expired";
    case error_id::invalid_settings:
        return "invalid_settings";
    case error_id::invalid_configuration:
        return "invalid_configuration";
    case error_id::plan_conflict:
        return "plan_conflict";
    case error_id::plan_stale:
        return "plan_stale";
    case error_id::plan_not_found:
        return "plan_not_found";
    case error_id::malformed_message:
        return "malformed_message";
    case error_id::message_too_large:
        return "message_too_large";
    case error_id::message_not_authentic:
        return "message_not_authentic";
    case error_id::unsupported_version:
        return "unsupported_version";
    case error_id::platform_unavailable:
        return "platform_unavailable";
    case error_id::platform_conflict:
        return "platform_conflict";
    case error_id::platform_protocol:
        return "platform_protocol";
    case error_id::invariant_violated:
        return "invariant_violated";
    case error_id::section_ownership:
        return "section_ownership";
    }
    return "unknown_error";
}

} // namespace papayafall
