#include "papayafall/cli/exit_codes.hpp"

namespace papayafall {

exit_code exit_code_of(error_id id) noexcept
{
    switch (id) {
    case error_id::malformed_request:
    case error_id::invalid_settings:
    case error_id::invalid_configuration:
        return exit_code::usage;
    case error_id::home_unreachable:
    case error_id::platform_unavailable:
        return exit_code::unavailable;
    case error_id::plan_conflict:
    case error_id::plan_stale:
    case error_id::platform_conflict:
        return exit_code::conflict;
    case error_id::invariant_violated:
    case error_id::section_ownership:
        return exit_code::internal;
    case error_id::unknown_service:
    case error_id::unknown_team:
    case error_id::too_many_tasks:
    case error_id::key_reused:
    case error_id::invalid_key:
    case error_id::request_too_large:
    case error_id::unauthorized:
    case error_id::not_found:
    case error_id::overloaded:
    case error_id::quota_exceeded:
    case error_id::rate_exceeded:
    case error_id::budget_exceeded:
    case error_id::no_target:
    case error_id::shutting_down:
    case error_id::cancelled:
    case error_id::deadline_passed:
    case error_id::records_full:
    case error_id::no_home:
    case error_id::task_failed:
    case error_id::outcome_unknown:
    case error_id::home_lost:
    case error_id::answer_evicted:
    case error_id::key_expired:
    case error_id::plan_not_found:
    case error_id::malformed_message:
    case error_id::message_too_large:
    case error_id::message_not_authentic:
    case error_id::unsupported_version:
    case error_id::platform_protocol:
        return exit_code::refused;
    }
    return exit_code::internal;
}

} // namespace papayafall
