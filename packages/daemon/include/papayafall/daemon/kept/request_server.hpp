#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/http/http_reader.hpp"

#include <QTcpServer>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace papayafall {

/// Receives the requests of a `request_server`.
class request_handler {
  public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /// A complete request arrived. Answer it with `request_server::answer`, now or later.
    ///
    /// @param received_at when this host received it, which is earlier than now if the process did
    ///                    not run in between
    virtual void on_request(call_id call, const http_request_message& request,
                            time_point received_at) = 0;

    /// The caller closed the connection before the answer.
    virtual void on_abandoned(call_id call) = 0;
};

/// Address and limits of a `request_server`.
struct request_server_options {
    endpoint listen;
    http_limits limits;
    /// Time that a caller has to send the rest of a request after its first byte.
    duration receive_timeout = std::chrono::seconds(5);
    /// Age of a connection from which its first request may have been delayed on its way.
    duration delayed_request_age = std::chrono::milliseconds(250);
    /// Time after an answer before which the caller does not submit a later request of the same
    /// connection elsewhere. A request that arrives later may have been delayed that long.
    duration resubmission_delay = std::chrono::milliseconds(1300);
    /// Time for which such a request is held back, because the end of the connection may follow it.
    duration delayed_request_hold = std::chrono::milliseconds(20);
    /// Further connections are closed immediately.
    std::size_t max_connections = 2000;
};

/// HTTP/1.1 server on one address that handles one request at a time on each connection. Not
/// thread-safe: use it only on the thread that created it.
///
/// A request whose caller has already closed the connection is dropped: the caller may have sent it
/// elsewhere since.
class request_server {
  public:
    /// @throws configuration_error if the server cannot listen on the address
    request_server(const request_server_options& options, request_handler& handler);
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    ~request_server();

    /// Port that the server listens on.
    std::uint16_t port() const;

    /// Answers a call; does nothing if the caller has closed the connection.
    void answer(call_id call, http_reply_message reply);

    /// From now on closes each connection after its next answer.
    void close_after_answers() noexcept { closing_after_answers_ = true; }

    /// Closes the connections whose incomplete request exceeds the time limit, and passes on the
    /// requests that were held back.
    void on_tick(time_point now);

  private:
    class connection;

    void accept();
    void remove_connection(std::uint64_t number);
    std::vector<std::uint64_t>
    connections_where(const std::function<bool(const connection&)>& condition) const;

    request_server_options options_;
    request_handler& handler_;
    QTcpServer server_;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<call_id, std::uint64_t> open_calls_; ///< number of the connection by open call
    std::uint64_t last_connection_number_ = 0;
    call_id last_call_;
    bool closing_after_answers_ = false;
};

} // namespace papayafall
