#pragma once

#include "papayafall/core/values/request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace papayafall {

/// Values of the request headers of the callers' interface; empty if absent.
struct request_headers {
    const std::string idempotency_key; ///< `Idempotency-Key`
    const std::string team;            ///< `Papayafall-Team`
    const std::string deadline_ms;     ///< `Papayafall-Deadline-Ms`
    const std::string urgency;         ///< `Papayafall-Urgency`

    auto operator<=>(const request_headers&) const = default;
};

/// Maximum number of tickets that one request can ask for.
inline constexpr std::uint32_t max_tickets_per_request = 1000;

/// Decodes a request for a single task with an opaque body.
/// @param service service name from the path; validated here
/// @param now time from which `Papayafall-Deadline-Ms` counts
/// @throws request_error for a malformed name, header or key
request decode_single_request(std::string_view service, const request_headers& headers,
                              std::string body, time_point now);

/// Decodes a job from the JSON `{"tasks": [{"body": ..., "declared_run_time_ms": n}, ...]}`.
///
/// A task body that is a JSON string becomes its characters, any other value its JSON text.
/// @throws request_error for malformed JSON, an unknown member, no tasks, or more
///         than `max_tasks_per_job`, and for what `decode_single_request` rejects
request decode_job(std::string_view service, const request_headers& headers, std::string_view body,
                   time_point now);

/// Decodes the body of a request for tickets, `{"count": n}`; an empty body asks for one ticket.
/// @throws request_error unless `n` is an integer from 1 to `max_tickets_per_request`
std::uint32_t decode_ticket_count(std::string_view body);

} // namespace papayafall
