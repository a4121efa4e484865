#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace papayafall {

/// Identifies a connection to a server; never reused.
using connection_id = basic_number<struct connection_id_tag>;

/// Selects the connection for a request. Each connection carries one request at a time; the most
/// recently used one is preferred, and connections idle for longer than the limit are not reused.
///
/// The pool only manages identifiers; it does not open or close connections.
class connection_pool {
  public:
    /// @param max_idle_time time after which an idle connection is not reused
    explicit connection_pool(duration max_idle_time) : max_idle_time_(max_idle_time) {}

    /// Takes a connection to `server` for one request. Complexity: logarithmic in the number of
    /// servers.
    connection_id acquire(const endpoint& server, time_point now);

    /// Returns a new connection. One that is never released stays reserved for a single request.
    connection_id acquire_new();

    /// Returns a connection to the pool after a complete response.
    void release(const endpoint& server, connection_id connection, time_point now);

    /// Removes the idle connections to `server` that have carried no response since `since`, the
    /// time at which an unanswered request was sent. A later response shows that its connection
    /// still works. Complexity: linear in the number of idle connections to the server.
    void discard_idle(const endpoint& server, time_point since);

    /// Number of connections created.
    std::uint64_t opened() const noexcept { return last_id_.value(); }

  private:
    struct idle_connection {
        connection_id id;
        time_point last_response_at;
    };

    duration max_idle_time_;
    connection_id last_id_;
    std::map<endpoint, std::vector<idle_connection>> idle_; ///< most recently used at the back
};

} // namespace papayafall
