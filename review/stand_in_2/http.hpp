#pragma once

#include "record.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct http_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct http_reply {
    int status = 0; ///< 0: no answer, the connection is closed
    std::string body;
};

/// Returns a loopback port that is free at the moment.
std::uint16_t free_port();

/// HTTP/1.1 server on 127.0.0.1 with one thread for each connection. The handler may block.
class http_server {
  public:
    using handler = std::function<http_reply(const http_request&)>;

    http_server(std::uint16_t port, handler handle);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    std::uint16_t port() const noexcept { return port_; }

    /// Closes the listening socket and all connections at once, as the end of a process does.
    void stop();

  private:
    void accept_connections();
    void serve(int descriptor);

    std::uint16_t port_;
    handler handle_;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<int> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A client's connection, which carries one request after another.
class client_connection {
  public:
    explicit client_connection(std::uint16_t port);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    /// Sends a request and waits for the answer. Status 0: no answer came within `timeout`, or the
    /// connection ended.
    http_reply exchange(const http_request& request, milliseconds timeout);

  private:
    int descriptor_;
    bool open_ = false;
    std::string buffer_;
};

/// Sends one request over a new connection and waits for the answer, as `exchange` does.
http_reply call(std::uint16_t port, const http_request& request, milliseconds timeout);

/// Sends all of a request but its last byte over a new connection, which then breaks.
void send_and_break(std::uint16_t port, const http_request& request);

} // namespace review
