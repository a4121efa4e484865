#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/http/http_reader.hpp"

#include <QObject>
#include <QTcpSocket>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace papayafall {

/// How an exchange over a connection ended.
enum class exchange_end : std::uint8_t {
    response,  ///< a complete response arrived
    refused,   ///< the server refused the connection; nothing was sent
    lost,      ///< the connection failed otherwise, or ended before the response was complete
    too_large, ///< the response exceeds the size limit
    malformed, ///< the bytes are no HTTP response, or the response does not state its length
};

/// TCP connection to a server that carries one request at a time and sends each request at most
/// once. Not thread-safe: use it only on the thread that created it.
class http_connection
    : public boost::intrusive_ref_counter<http_connection, boost::thread_unsafe_counter> {
  public:
    /// @param reply valid for `exchange_end::response`
    using end_handler = std::function<void(exchange_end end, const http_reply_message& reply)>;

    /// Starts to connect.
    http_connection(const endpoint& server, const http_limits& limits);
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    virtual ~http_connection();

    /// Sends a request, at once or when the connection is established.
    /// @param send_by the request is not sent from then on
    /// @param handle  called once, never from within this function; not called after `close`
    void send(std::string request, time_point send_by, end_handler handle);

    /// Whether the connection is established.
    bool is_open() const;

    /// Whether a byte of the request in progress was handed to the system.
    bool is_sent() const noexcept { return sent_; }

    /// Whether the other end has closed the connection or broken the protocol.
    bool is_closed() const noexcept { return socket_ == nullptr; }

    const endpoint& server() const noexcept { return server_; }

    void close();

  private:
    void write_request();
    void receive();
    void on_error(QAbstractSocket::SocketError reason);
    /// Ends the exchange, if any. Closes the connection unless the response allows another request.
    void finish(exchange_end end, const http_reply_message& reply);

    QObject context_; ///< drops the signals of the socket that are still queued at the end
    endpoint server_;
    http_reader<http_reply_message> reader_;
    std::unique_ptr<QTcpSocket> socket_;
    std::string unsent_request_; ///< serialized request, until connected
    time_point send_by_ = no_deadline;
    end_handler handler_;
    bool sent_ = false;
};

using http_connection_ptr = boost::intrusive_ptr<http_connection>;

} // namespace papayafall
