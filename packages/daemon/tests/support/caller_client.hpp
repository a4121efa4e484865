#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// An HTTP request of a caller.
struct caller_request_text {
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string key; ///< `Idempotency-Key` header; omitted when empty
};

/// Response to a caller; status 0 when no complete response arrived.
struct caller_answer {
    int status = 0;
    std::string body;
    std::string run;  ///< member "run" of a problem document
    std::string type; ///< member "type" of a problem document, without the URN prefix

    bool operator==(const caller_answer&) const = default;
};

/// Sends one request on a new connection and waits up to 20 s for the response.
caller_answer call_host(std::uint16_t port, const caller_request_text& wanted);

/// Builds a request with one task for the stand-in targets.
/// @param run_ms run time of the task in milliseconds
/// @param key    idempotency key; empty for none
caller_request_text make_task(const std::string& service, const std::string& id, int run_ms,
                              const std::string& key = "");

/// Requests `count` tickets from the entry host on `port`.
std::vector<std::string> fetch_tickets(std::uint16_t port, std::size_t count);

} // namespace papayafall
