#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/daemon/persistent/http_reader.hpp"

#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace papayafall {

/// Why a call has no reply.
enum class exchange_error : std::uint8_t {
    none,
    refused,   ///< nothing listens at the address; nothing was sent
    broken,    ///< the connection ended; the call may have been carried out
    timed_out, ///< no reply in time; the call may have been carried out
};

struct exchange_result {
    exchange_error error = exchange_error::none;
    http_reply_message reply;

    auto operator<=>(const exchange_result&) const = default;
};

/// HTTP/1.1 calls over one connection that is kept open, one at a time. A request is written once.
/// Belongs to the thread that made it.
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
    bool open() const noexcept { return connected_; }

    const endpoint& address() const noexcept { return address_; }

    /// Sends a request; connects first where that is needed.
    /// @param handle called once, never from within this call
    /// @param give_up_at the call fails then
    void send(const http_request_message& request, time_point deadline, result_handler handle);

    /// Acts on the deadline of the call in progress.
    void on_tick(time_point now);

    /// Drops the connection; a call in progress ends as broken.
    void close();

  private:
    void connect_socket();
    void on_connected();
    void on_error(QAbstractSocket::SocketError reason);
    void on_ready_read();
    void finish(const exchange_result& result);
    void drop_socket();

    endpoint address_;
    http_limits limits_;
    std::unique_ptr<QTcpSocket> socket_;
    std::unique_ptr<http_reader<http_reply_message>> reader_;
    std::string unsent_request_; ///< request that waits for the connection
    result_handler handler_;
    time_point deadline_ = no_deadline;
    bool connected_ = false;
};

} // namespace papayafall
