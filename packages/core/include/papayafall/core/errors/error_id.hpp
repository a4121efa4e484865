#pragma once

#include <cstdint>
#include <string_view>

namespace papayafall {

/// Stable identifiers of all errors. Numbers are never reused.
///
/// 1xx: invalid requests; 2xx: refusals before any task was started; 3xx: failed tasks and unknown
/// outcomes; 4xx: settings and configuration; 5xx: peer messages; 6xx: the platform; 9xx: internal
/// errors.
enum class error_id : std::uint16_t {
    malformed_request = 101,
    unknown_service = 102,
    unknown_team = 103,
    too_many_tasks = 104,
    key_reused = 105,  ///< the key was used before for a different request
    invalid_key = 106, ///< a ticket that was never issued, or a key created in the future
    request_too_large = 107,
    unauthorized = 108,
    not_found = 109,

    overloaded = 201, ///< a deadline is predicted to be missed, or a queue is full
    quota_exceeded = 202,
    rate_exceeded = 203,
    budget_exceeded = 204,
    no_target = 205, ///< no target has usable slots or can be reached
    shutting_down = 206,
    cancelled = 207,
    deadline_passed = 208,
    records_full = 209, ///< the limit of submission records is reached
    no_home = 210,      ///< no reachable host is the home of the key at present
    home_unreachable = 211,

    task_failed = 301,     ///< a target ran the task and reported a failure
    outcome_unknown = 302, ///< a target may have run the task
    home_lost = 303,       ///< the process that knew the outcome is gone
    answer_evicted = 304,  ///< the tasks ran, but the answer is no longer retained
    key_expired = 305,     ///< the key is older than the records that are kept

    invalid_settings = 401,
    invalid_configuration = 402,
    plan_conflict = 403,
    plan_stale = 404,
    plan_not_found = 405,

    malformed_message = 501,
    message_too_large = 502,
    message_not_authentic = 503,
    unsupported_version = 504,

    platform_unavailable = 601,
    platform_conflict = 602,
    platform_protocol = 603,

    invariant_violated = 901,
    section_ownership = 902,
};

/// Returns the stable lower-case name of `id`, as used in problem types, logs and metrics.
std::string_view to_string(error_id id) noexcept;

} // namespace papayafall
