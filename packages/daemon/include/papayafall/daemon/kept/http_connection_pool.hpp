#pragma once

#include "papayafall/daemon/kept/persistent_connection.hpp"

#include <cstddef>
#include <deque>
#include <list>
#include <memory>

namespace papayafall {

/// Finds out which process of a server is at the other end of a connection.
class process_check {
  public:
    process_check() = default;
    process_check(const process_check&) = delete;
    process_check& operator=(const process_check&) = delete;
    virtual ~process_check() = default;

    /// Process that a call is meant for.
    virtual server_process expected() const = 0;

    /// Request whose response names the process, and that changes nothing there.
    virtual http_request_message request() const = 0;

    /// Process that a response to the request names; 0: none.
    virtual server_process process_in(const http_reply_message& reply) const = 0;
};

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

    /// Sends a request only to a certain process of the server. A connection that has not carried a
    /// check yet carries one before the request. The call fails as `other_process` if the process
    /// is another one or does not tell; then nothing was sent but the check.
    void send_to_process(std::shared_ptr<const process_check> check, http_request_message request,
                         time_point deadline, persistent_connection::result_handler handle);

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
        std::shared_ptr<const process_check> check; ///< empty: any process may get the request
    };

    void send(waiting_call call);

    persistent_connection* find_free_connection();
    void start_call(persistent_connection& connection, waiting_call call);
    void send_check(persistent_connection& connection, waiting_call call);
    void start_next_call();

    endpoint address_;
    http_limits limits_;
    std::size_t max_connections_;
    /// A list, since a handler may send a call that adds a connection during an iteration.
    std::list<persistent_connection> connections_;
    std::deque<waiting_call> waiting_calls_;
};

} // namespace papayafall
