#pragma once

#include "papayafall/daemon/kept/kept_connection.hpp"

#include <cstddef>
#include <deque>
#include <list>

namespace papayafall {

/// Kept connections to one address. Calls beyond the limit wait for a free connection.
class connection_group {
  public:
    connection_group(endpoint address, const http_limits& limits, std::size_t most_connections);

    const endpoint& address() const noexcept { return address_; }

    void send(http_request_message request, time_point give_up_at, kept_connection::handler handle);

    /// Acts on the deadlines of calls that run or wait.
    void on_tick(time_point now);

    /// Drops all connections; calls in progress and waiting end as broken.
    void close();

  private:
    struct waiting_call {
        http_request_message request;
        time_point give_up_at;
        kept_connection::handler handle;
    };

    kept_connection* free_connection();
    void dispatch(kept_connection& connection, waiting_call call);
    void next_call();

    endpoint address_;
    http_limits limits_;
    std::size_t most_connections_;
    std::list<kept_connection> connections_; ///< an answer may add one while they are visited
    std::deque<waiting_call> waiting_;
};

} // namespace papayafall
