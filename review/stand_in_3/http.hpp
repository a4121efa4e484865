#pragma once

#include "event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

struct http_message {
    std::string start_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string header(const std::string& name) const;
    /// Word `n` of the start line.
    std::string word(std::size_t n) const;
};

/// Takes a complete message from the start of `buffer`.
/// @return false if it is not complete yet
bool take_message(std::string& buffer, http_message& message);

/// HTTP/1.1 server on a loopback address.
class http_server {
  public:
    /// Answers a request; does nothing if the connection has ended.
    using responder = std::function<void(int status, const std::string& body)>;
    using handler = std::function<void(const http_message&, const responder&)>;

    /// @param port 0: a free one
    http_server(event_loop& loop, handler on_request, int port = 0);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    int port() const { return port_; }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Resets all open connections.
    void reset_connections();

  private:
    struct connection {
        int fd = -1;
        std::string received;
        std::string unsent;
    };

    void accept_all();
    void receive(const std::shared_ptr<connection>& it);
    void flush(const std::shared_ptr<connection>& it);
    void end(const std::shared_ptr<connection>& it, bool reset);

    event_loop& loop_;
    handler on_request_;
    int fd_ = -1;
    int port_ = 0;
    std::map<int, std::shared_ptr<connection>> connections_;
};

/// Sends one request on a new connection.
class http_call {
  public:
    /// @param status 0: no answer, the connection ended; -1: not connected
    using handler = std::function<void(int status, const http_message& answer)>;

    static std::shared_ptr<http_call> send(event_loop& loop, int port, const std::string& request,
                                           handler on_end);

    /// Closes the connection; the handler is not called.
    void abandon();

  private:
    explicit http_call(event_loop& loop) : loop_(loop) {}

    void finish(int status, const http_message& answer);

    event_loop& loop_;
    int fd_ = -1;
    std::string received_;
    handler on_end_;
};

/// Formats a request with a JSON body.
std::string format_request(const std::string& method, const std::string& target,
                           const std::string& host, const std::string& body,
                           const std::string& more_headers = "");

/// A TCP port on the loopback address that nobody listens on.
int free_port();

} // namespace review
