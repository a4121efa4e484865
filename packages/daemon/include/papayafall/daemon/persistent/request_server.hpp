#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/daemon/persistent/http_reader.hpp"

#include <QTcpServer>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace papayafall {

/// Takes the requests of a `request_server`.
class request_handler {
  public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /// A whole request arrived; it is to be answered with `request_server::answer`.
    virtual void on_request(call_id call, const http_request_message& request) = 0;

    /// The caller hung up before the answer.
    virtual void on_abandoned(call_id call) = 0;
};

struct request_server_options {
    endpoint listen;
    http_limits limits;
    /// Time that a caller has to complete a request once it has begun.
    duration receive_timeout = std::chrono::seconds(5);
    std::size_t max_connections = 2000;
};

/// Serves HTTP/1.1 on one address, one request at a time on each connection. Belongs to the thread
/// that made it.
class request_server {
  public:
    /// @throws configuration_error when the address cannot be used
    request_server(const request_server_options& options, request_handler& handler);
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    ~request_server();

    std::uint16_t port() const;

    /// Answers a call; a call whose caller has gone is passed over.
    void answer(call_id call, http_reply_message reply);

    /// From now on each answer ends its connection.
    void close_after_answers() noexcept { closing_after_answers_ = true; }

    /// Acts on the deadlines of requests that are incomplete.
    void on_tick(time_point now);

  private:
    class connection;

    void accept();
    void remove_connection(std::uint64_t number);

    request_server_options options_;
    request_handler& handler_;
    QTcpServer server_;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<call_id, std::uint64_t> open_calls_; ///< connection of each open call
    std::uint64_t last_connection_number_ = 0;
    call_id last_call_;
    bool closing_after_answers_ = false;
};

} // namespace papayafall
