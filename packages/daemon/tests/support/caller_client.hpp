#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// One HTTP exchange of a caller, and the task in it.
struct caller_request_text {
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string key; ///< `Idempotency-Key`; empty for none
};

/// What a caller got; status 0 where no whole answer came.
struct caller_answer {
    int status = 0;
    std::string body;
    std::string run;  ///< member "run" of a problem
    std::string type; ///< member "type" of a problem, without its prefix

    bool operator==(const caller_answer&) const = default;
};

/// Sends one request over a connection of its own and waits for the answer, 20 s at most.
caller_answer call_host(std::uint16_t port, const caller_request_text& wanted);

/// The request of one task that the stand-in targets understand.
caller_request_text make_task(const std::string& service, const std::string& id, int run_ms,
                              const std::string& key = "");

/// Tickets of the entry host on `port`.
std::vector<std::string> fetch_tickets(std::uint16_t port, std::size_t count);

} // namespace papayafall
