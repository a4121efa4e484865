#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/http/http_reader.hpp"

#include <QAbstractSocket>
#include <QTcpSocket>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace papayafall::detail {

/// How an exchange over a connection ended.
enum class exchange_end : std::uint8_t {
    response,  ///< a complete response arrived
    lost,      ///< the connection could not be opened, or ended before the response was complete
    too_large, ///< the response exceeds the size limit
    malformed, ///< the bytes are no HTTP response, or the response does not state its length
};

/// TCP connection to a server that carries one request at a time and sends each request once.
class outbound_connection
    : public boost::intrusive_ref_counter<outbound_connection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::tag<struct idle_tag>> {
  public:
    /// @param reply valid for `exchange_end::response`
    using end_handler = std::function<void(exchange_end end, const http_reply_message& reply)>;

    /// Starts to connect.
    outbound_connection(const endpoint& server, const http_limits& limits);
    outbound_connection(const outbound_connection&) = delete;
    outbound_connection& operator=(const outbound_connection&) = delete;
    ~outbound_connection();

    /// Sends a request, at once or when the connection is established.
    /// @param handle called once, never from within this function; not called after `close`
    void send(std::string request, end_handler handle);

    /// Whether a byte of the request in progress was handed to the system.
    bool is_sent() const noexcept { return sent_; }

    /// Whether the other end has closed the connection or broken the protocol.
    bool is_closed() const noexcept { return socket_ == nullptr; }

    const endpoint& server() const noexcept { return server_; }

    void close();

    time_point last_response_at{}; ///< set by the pool of idle connections

  private:
    void write_request();
    void receive();
    void on_error();
    /// Ends the exchange, if any. Closes the connection unless the response allows another request.
    void finish(exchange_end end, const http_reply_message& reply);

    endpoint server_;
    http_reader<http_reply_message> reader_;
    std::unique_ptr<QTcpSocket> socket_;
    std::string unsent_request_;
    end_handler handler_;
    bool sent_ = false;
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
    idle_list connections_; ///< least recently used first; holds a reference to each
};

} // namespace papayafall::detail
