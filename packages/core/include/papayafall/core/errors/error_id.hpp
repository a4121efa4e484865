#pragma once

#include <cstdint>
#include <string_view>

namespace papayafall {

/// Stable numeric identity of every failure. Numbers are never reused.
///
/// 1xx: the request; 2xx: refusals before any start; 3xx: failures of the work or of its outcome;
/// 4xx: settings and configuration; 5xx: peer messages; 6xx: the platform; 9xx: internal faults.
enum class error_id : std::uint16_t {
    malformed_request = 101,
    unknown_service = 102,
    unknown_team = 103,
    too_many_tasks = 104,
    key_reused = 105,  ///< same key, different request
    invalid_key = 106, ///< a ticket that no host issued, or a key from the future
    request_too_large = 107,
    unauthorized = 108,
    not_found = 109,

    overloaded = 201, ///< predicted wait passes the deadline, or a queue is full
    quota_exceeded = 202,
    rate_exceeded = 203,
    budget_exceeded = 204,
    no_target = 205, ///< no live target serves the service
    shutting_down = 206,
    cancelled = 207,
    deadline_passed = 208,
    records_full = 209, ///< no room for another submission record
    no_home = 210,      ///< nobody can decide about the key at present
    home_unreachable = 211,

    task_failed = 301,     ///< a target ran the task and reported a failure
    outcome_unknown = 302, ///< a target may have run the task
    home_lost = 303,       ///< the incarnation that knew the outcome is gone
    answer_evicted = 304,  ///< the work ran; its answer is no longer held
    key_expired = 305,     ///< key older than the records that are kept

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

/// Stable lower-case name of `id`, as used in problem types, logs and metrics.
std::string_view to_string(error_id id) noexcept;

} // namespace papayafall
