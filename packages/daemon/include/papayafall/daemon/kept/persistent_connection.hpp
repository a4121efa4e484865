#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/platform/http/http_connection.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace papayafall {

/// Number of one process of a server, which a restarted server changes; 0: unknown.
using server_process = basic_number<struct server_process_tag>;

/// Reason why a call got no response.
enum class exchange_error : std::uint8_t {
    none,
    refused,       ///< connection refused; nothing was sent
    broken,        ///< the connection was closed; the call may have been executed
    timed_out,     ///< no response before the deadline; the call may have been executed
    other_process, ///< the server's process is another one or not known; the call was not sent
};

/// Result of a call.
struct exchange_result {
    exchange_error error = exchange_error::none;
    http_reply_message reply; ///< valid if `error` is `none`

    auto operator<=>(const exchange_result&) const = default;
};

/// Persistent HTTP/1.1 client connection that carries one call at a time. A request is never sent
/// again, since the server may have executed it. Not thread-safe: use it only on the thread that
/// created it.
class persistent_connection {
  public:
    using result_handler = std::function<void(const exchange_result&)>;

    persistent_connection(endpoint address, const http_limits& limits);
    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;
    ~persistent_connection();

    /// Whether no call is in progress.
    bool idle() const noexcept { return !handler_; }

    /// Whether the connection is open.
    bool open() const { return connection_ != nullptr && connection_->is_open(); }

    const endpoint& address() const noexcept { return address_; }

    /// Process of the server at the other end of the open connection, as far as a response on this
    /// connection has told it. A process that ends takes its connections along.
    server_process process() const { return open() ? process_ : server_process(); }

    /// Records the process that a response on this connection has named.
    void set_process(server_process it) { process_ = it; }

    /// Sends a request; connects first if necessary.
    /// @param deadline the call fails as timed out then
    /// @param handle   called once with the result, never from within this function
    /// @throws invariant_error if a call is in progress
    void send(const http_request_message& request, time_point deadline, result_handler handle);

    /// Fails the call in progress if its deadline has passed.
    void on_tick(time_point now);

    /// Closes the connection; a call in progress fails as broken.
    void close();

  private:
    void finish(const exchange_result& result);
    void drop_connection();

    endpoint address_;
    http_limits limits_;
    http_connection_ptr connection_; ///< empty before the first call and after a timeout
    server_process process_;
    result_handler handler_;
    time_point deadline_ = no_deadline;
};

} // namespace papayafall
