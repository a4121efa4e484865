#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace papayafall {

/// One connection to a server; a number is never used again.
using connection_id = basic_number<struct connection_id_tag>;

/// Decides which connection carries a request: one request at a time on each, the connection that
/// was used last first, and none that was idle for longer than the limit.
///
/// The pool holds numbers only; it opens and closes nothing.
class connection_pool {
  public:
    /// @param idle_limit time after which an unused connection is not used any more
    explicit connection_pool(duration idle_limit) : idle_limit_(idle_limit) {}

    /// Takes a connection to `server` for one request. Complexity: logarithmic in the servers.
    connection_id acquire(const endpoint& server, time_point now);

    /// Makes a connection that is not given back.
    connection_id acquire_new();

    /// Gives back a connection whose request ended with a whole response.
    void release(const endpoint& server, connection_id connection, time_point now);

    /// Stops the use of the idle connections to `server` that carried no answer since `since`, when
    /// a request was sent that got none. A later answer shows that its connection still works.
    /// Complexity: linear in the idle connections to the server.
    void discard_idle(const endpoint& server, time_point since);

    /// Number of connections handed out for the first time.
    std::uint64_t opened() const noexcept { return last_id_.value(); }

  private:
    struct idle_connection {
        connection_id id;
        time_point last_response_at;
    };

    duration idle_limit_;
    connection_id last_id_;
    std::map<endpoint, std::vector<idle_connection>> idle_; ///< the one used last is at the back
};

} // namespace papayafall
