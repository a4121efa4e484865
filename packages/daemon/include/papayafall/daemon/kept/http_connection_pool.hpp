#pragma once

#include "papayafall/daemon/kept/persistent_connection.hpp"

#include <cstddef>
#include <deque>
#include <list>

namespace papayafall {

/// Pool of persistent HTTP connections to one address. When all connections are busy, calls wait
/// for a free one in the order in which they were sent.
class http_connection_pool {
  public:
    http_connection_pool(endpoint address, const http_limits& limits, std::size_t max_connections);

    const endpoint& address() const noexcept { return address_; }

    /// Sends a request over a free connection, or queues it.
    /// @param deadline the call fails as timed out then
    /// @param handle   called once with the result, unless the pool is destroyed first
    void send(http_request_message request, time_point deadline,
              persistent_connection::result_handler handle);

    /// Fails the calls whose deadline has passed: those in progress, and queued ones in their
    /// order.
    void on_tick(time_point now);

    /// Closes the connections that carry no call.
    void close_idle();

    /// Closes all connections; calls in progress and queued calls fail as broken.
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
    /// A list, since a handler may send a call that adds a connection during an iteration.
    std::list<persistent_connection> connections_;
    std::deque<waiting_call> waiting_calls_;
};

} // namespace papayafall
