#pragma once

#include "event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace review {

struct http_message {
    std::string start_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// Method of a request, or version of a response.
    std::string word(int index) const;
    std::string header(const std::string& name) const;

    bool keep_alive() const { return header("connection") != "close"; }
};

/// Connected TCP socket that carries HTTP messages.
class http_stream : public std::enable_shared_from_this<http_stream> {
  public:
    http_stream(event_loop& loop, int descriptor, bool connected);
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    ~http_stream();

    std::function<void(const http_message&)> on_message;
    std::function<void()> on_end; ///< the other end closed or reset the connection

    /// Starts to watch the socket.
    void open();
    void write(const std::string& bytes);
    void close();

    bool is_open() const noexcept { return descriptor_ >= 0; }

  private:
    void update_watch();
    void on_ready(short events);
    void read_available();
    void write_available();
    void end();

    event_loop& loop_;
    int descriptor_;
    bool connected_;
    std::string input_;
    std::string output_;
};

using http_stream_ptr = std::shared_ptr<http_stream>;

std::string encode_response(int status, const std::string& body, bool keep_alive = true);

/// Ports on the loopback below the range of ephemeral ports that nothing listens on.
std::uint16_t find_free_port();

/// HTTP server on 127.0.0.1. It can be closed, as if its process had been killed, and opened again.
class http_server {
  public:
    using reply_function = std::function<void(int status, const std::string& body)>;
    using request_handler = std::function<void(const http_message&, const reply_function&)>;

    http_server(event_loop& loop, std::uint16_t port, request_handler handle);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    std::uint16_t port() const noexcept { return port_; }

    void open();
    /// Ends the listener and all connections.
    void close();

  private:
    void accept_connection();

    event_loop& loop_;
    std::uint16_t port_;
    request_handler handle_;
    int listener_ = -1;
    std::set<http_stream_ptr> streams_;
};

/// Result of a call: the response, or that the connection ended or the time was up without one.
struct call_result {
    int status = 0; ///< 0: no complete response
    std::string body;
    bool timed_out = false;
};

/// Client connection that carries one call at a time.
class http_client : public std::enable_shared_from_this<http_client> {
  public:
    using result_handler = std::function<void(const call_result&)>;

    http_client(event_loop& loop, std::uint16_t port) : loop_(loop), port_(port) {}

    /// Sends a request on the open connection, or on a new one. Closes the connection if no
    /// response came within `wait`.
    void send(const std::string& method, const std::string& path,
              const std::map<std::string, std::string>& headers, const std::string& body,
              milliseconds wait, result_handler handle);

    bool is_open() const { return stream_ != nullptr && stream_->is_open(); }

    void close();

  private:
    void finish(const call_result& result);

    event_loop& loop_;
    std::uint16_t port_;
    http_stream_ptr stream_;
    result_handler handle_;
    std::uint64_t calls_ = 0;
};

} // namespace review
