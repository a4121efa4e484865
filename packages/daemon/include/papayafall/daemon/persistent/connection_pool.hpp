#pragma once

#include "papayafall/daemon/persistent/persistent_connection.hpp"

#include <cstddef>
#include <deque>
#include <list>

namespace papayafall {

/// Kept connections to one address. Calls beyond the limit wait for a free connection.
class connection_pool {
  public:
    connection_pool(endpoint address, const http_limits& limits, std::size_t max_connections);

    const endpoint& address() const noexcept { return address_; }

    void send(http_request_message request, time_point deadline,
              persistent_connection::result_handler handle);

    /// Acts on the deadlines of calls that run or wait.
    void on_tick(time_point now);

    /// Drops all connections; calls in progress and waiting end as broken.
    void close();

  private:
    struct waiting_call {
        http_request_message request;
        time_point deadline;
        persistent_connection::result_handler handle;
    };

    persistent_connection* find_free_connection();
    void start_call(persistent_connection& connection, waiting_call call);
    void start_next_call();

    endpoint address_;
    http_limits limits_;
    std::size_t max_connections_;
    std::list<persistent_connection> connections_; ///< an answer may add one while they are visited
    std::deque<waiting_call> waiting_calls_;
};

} // namespace papayafall
