#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <stdexcept>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr std::size_t chunk_size = 65536;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int make_socket()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return fd;
}

int bound_port(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Reads what has arrived.
/// @return false at the end of the connection
bool read_available(int fd, std::string& received)
{
    std::array<char, chunk_size> buf{};
    while (true) {
        const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
        if (n > 0) {
            received.append(buf.data(), static_cast<std::size_t>(n));
            continue;
        }
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    }
}

} // namespace

std::string http_message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
}

std::string http_message::word(std::size_t n) const
{
    std::size_t begin = 0;
    for (; n > 0; --n) {
        begin = start_line.find(' ', begin);
        if (begin == std::string::npos) {
            return "";
        }
        ++begin;
    }
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

bool take_message(std::string& buffer, http_message& message)
{
    const std::size_t head_end = buffer.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    message = {};
    std::size_t line_start = 0;
    while (line_start < head_end) {
        const std::size_t line_end = std::min(buffer.find("\r\n", line_start), head_end);
        const std::string line = buffer.substr(line_start, line_end - line_start);
        line_start = line_end + 2;
        if (message.start_line.empty()) {
            message.start_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (buffer.size() < head_end + 4 + size) {
        return false;
    }
    message.body = buffer.substr(head_end + 4, size);
    buffer.erase(0, head_end + 4 + size);
    return true;
}

http_server::http_server(event_loop& loop, handler on_request, int port)
    : loop_(loop), on_request_(std::move(on_request)), fd_(make_socket())
{
    const sockaddr_in address = loopback(port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
        throw std::runtime_error("cannot listen on a loopback port");
    }
    port_ = bound_port(fd_);
    loop_.watch_read(fd_, [this] { accept_all(); });
}

http_server::~http_server()
{
    loop_.unwatch(fd_);
    close(fd_);
    while (!connections_.empty()) {
        end(connections_.begin()->second, true);
    }
}

void http_server::reset_connections()
{
    while (!connections_.empty()) {
        end(connections_.begin()->second, true);
    }
}

void http_server::accept_all()
{
    while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto added = std::make_shared<connection>();
        added->fd = fd;
        connections_[fd] = added;
        loop_.watch_read(fd, [this, added] { receive(added); });
    }
}

void http_server::receive(const std::shared_ptr<connection>& it)
{
    if (it->fd < 0) {
        return;
    }
    const bool open = read_available(it->fd, it->received);
    http_message request;
    while (it->fd >= 0 && take_message(it->received, request)) {
        on_request_(request, [this, it](int status, const std::string& body) {
            if (it->fd < 0) {
                return;
            }
            it->unsent += "HTTP/1.1 " + std::to_string(status) +
                          " -\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
            flush(it);
        });
    }
    if (!open) {
        end(it, false);
    }
}

void http_server::flush(const std::shared_ptr<connection>& it)
{
    while (it->fd >= 0 && !it->unsent.empty()) {
        const ssize_t n = ::send(it->fd, it->unsent.data(), it->unsent.size(), MSG_NOSIGNAL);
        if (n > 0) {
            it->unsent.erase(0, static_cast<std::size_t>(n));
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            loop_.watch_write(it->fd, [this, it] { flush(it); });
            return;
        }
        end(it, true);
        return;
    }
    if (it->fd >= 0) {
        loop_.unwatch_write(it->fd);
    }
}

void http_server::end(const std::shared_ptr<connection>& it, bool reset)
{
    const std::shared_ptr<connection> kept = it;
    if (kept->fd < 0) {
        return;
    }
    loop_.unwatch(kept->fd);
    if (reset) {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(kept->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    close(kept->fd);
    connections_.erase(kept->fd);
    kept->fd = -1;
}

std::shared_ptr<http_call> http_call::send(event_loop& loop, int port, const std::string& request,
                                           handler on_end)
{
    const std::shared_ptr<http_call> call(new http_call(loop));
    call->on_end_ = std::move(on_end);
    call->fd_ = make_socket();
    const sockaddr_in address = loopback(port);
    const int result =
        connect(call->fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result != 0 && errno != EINPROGRESS) {
        loop.after(0, [call] { call->finish(-1, {}); });
        return call;
    }
    loop.watch_write(call->fd_, [call, request] {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(call->fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            call->finish(-1, {});
            return;
        }
        call->loop_.unwatch_write(call->fd_);
        // Requests are small and go into the empty send buffer at once.
        ::send(call->fd_, request.data(), request.size(), MSG_NOSIGNAL);
    });
    loop.watch_read(call->fd_, [call] {
        if (call->fd_ < 0) {
            return;
        }
        const bool open = read_available(call->fd_, call->received_);
        http_message answer;
        if (take_message(call->received_, answer)) {
            const int status = std::stoi(answer.word(1));
            call->finish(status, answer);
        } else if (!open) {
            call->finish(0, {});
        }
    });
    return call;
}

void http_call::abandon()
{
    on_end_ = nullptr;
    finish(0, {});
}

void http_call::finish(int status, const http_message& answer)
{
    if (fd_ >= 0) {
        loop_.unwatch(fd_);
        close(fd_);
        fd_ = -1;
    }
    const handler handle = std::exchange(on_end_, nullptr);
    if (handle) {
        handle(status, answer);
    }
}

std::string format_request(const std::string& method, const std::string& target,
                           const std::string& host, const std::string& body,
                           const std::string& more_headers)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int free_port()
{
    // Below the range from which the system takes the ports of outgoing connections.
    constexpr int first_port = 20000;
    constexpr int port_count = 10000;
    static int next = getpid() * 97 % port_count;
    while (true) {
        const int port = first_port + next;
        next = (next + 1) % port_count;
        const int fd = make_socket();
        const sockaddr_in address = loopback(port);
        const bool free =
            bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (free) {
            return port;
        }
    }
}

} // namespace review
