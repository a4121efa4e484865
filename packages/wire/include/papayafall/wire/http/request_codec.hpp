#pragma once

#include "papayafall/core/values/request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace papayafall {

/// Values of the request headers that the callers' interface knows; empty where absent.
struct request_headers {
    const std::string idempotency_key; ///< `Idempotency-Key`
    const std::string team;            ///< `Papayafall-Team`
    const std::string deadline_ms;     ///< `Papayafall-Deadline-Ms`
    const std::string urgency;         ///< `Papayafall-Urgency`

    auto operator<=>(const request_headers&) const = default;
};

/// Largest number of tickets of one request for tickets.
inline constexpr std::uint32_t max_tickets_per_request = 1000;

/// Makes a single request of one opaque body.
/// @param service name from the path, checked here
/// @param now instant from which `Papayafall-Deadline-Ms` counts
/// @throws request_error for a malformed name, header or key
request decode_single_request(std::string_view service, const request_headers& headers,
                              std::string body, time_point now);

/// Makes a job of the JSON `{"tasks": [{"body": ..., "declared_run_time_ms": n}, ...]}`.
///
/// A body that is a JSON string stands for its characters, any other body for its JSON text.
/// @throws request_error for malformed JSON, an unknown member, no tasks, or more than
///         `max_tasks_per_job`
request decode_job(std::string_view service, const request_headers& headers, std::string_view body,
                   time_point now);

/// Reads `{"count": n}`, the body of a request for tickets; an empty body asks for one.
/// @throws request_error unless `n` is a whole number of 1 to `max_tickets_per_request`
std::uint32_t decode_ticket_count(std::string_view body);

} // namespace papayafall
