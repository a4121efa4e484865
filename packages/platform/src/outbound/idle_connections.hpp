#pragma once

#include "papayafall/platform/http/http_connection.hpp"

#include <boost/intrusive/list.hpp>

#include <functional>

namespace papayafall::detail {

/// Connection of an `outbound_client`.
class outbound_connection
    : public http_connection,
      public boost::intrusive::list_base_hook<boost::intrusive::tag<struct idle_tag>> {
  public:
    using http_connection::http_connection;

    time_point last_response_at{}; ///< set by `idle_connections`
};

using outbound_connection_ptr = boost::intrusive_ptr<outbound_connection>;

/// Connections that wait for their next request. The most recently used one to a server is
/// preferred; one that was idle for longer than the limit is closed.
class idle_connections {
  public:
    /// @param max_idle_time time after which an idle connection is not reused
    explicit idle_connections(duration max_idle_time) : max_idle_time_(max_idle_time) {}

    idle_connections(const idle_connections&) = delete;
    idle_connections& operator=(const idle_connections&) = delete;
    ~idle_connections();

    /// Removes and returns a connection to the server, or nullptr. Complexity: linear in the number
    /// of idle connections.
    outbound_connection_ptr take(const endpoint& server, time_point now);

    /// Adds a connection that has carried a complete response.
    void put(const outbound_connection_ptr& connection, time_point now);

    /// Closes the connections to the server that have carried no response since `since`, when a
    /// request was sent that got no answer. A later response shows that its connection still works.
    void discard(const endpoint& server, time_point since);

    /// Closes the connections whose time is over, and those that the server has closed.
    void close_expired(time_point now);

    /// When the next connection expires.
    time_point next_expiry() const noexcept;

  private:
    using idle_list =
        boost::intrusive::list<outbound_connection,
                               boost::intrusive::base_hook<boost::intrusive::list_base_hook<
                                   boost::intrusive::tag<struct idle_tag>>>>;

    outbound_connection_ptr unlink(outbound_connection& it);
    void close_if(const std::function<bool(const outbound_connection&)>& condition);

    duration max_idle_time_;
    idle_list connections_; ///< most recently used first; holds a reference to each
};

} // namespace papayafall::detail
