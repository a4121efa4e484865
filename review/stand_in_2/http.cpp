#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <random>
#include <set>
#include <stdexcept>

namespace review {

namespace {

constexpr int backlog = 128;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

void set_no_delay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Head of an HTTP message: its first line, its headers and the size of its body.
struct message_head {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::size_t size = 0;
    std::size_t body_size = 0;
};

bool parse_head(const std::string& buf, message_head& head)
{
    const std::size_t end = buf.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    head = {};
    head.size = end + 4;
    std::size_t at = 0;
    while (at < end) {
        const std::size_t line_end = std::min(buf.find("\r\n", at), end);
        const std::string line = buf.substr(at, line_end - at);
        at = line_end + 2;
        if (head.first_line.empty()) {
            head.first_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    if (const auto it = head.headers.find("content-length"); it != head.headers.end()) {
        head.body_size = std::stoul(it->second);
    }
    return true;
}

std::string encode(const http_request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

bool send_all(int descriptor, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace

std::uint16_t free_port()
{
    // Below the ports that the kernel gives to outgoing connections, which come and go.
    constexpr int first = 20'000;
    constexpr int last = 32'000;
    static std::mt19937 generator{std::random_device{}()};
    std::uniform_int_distribution<int> any(first, last);
    static std::set<int> handed_out;
    for (int tries = 0; tries < 1000; ++tries) {
        const auto port = static_cast<std::uint16_t>(any(generator));
        if (!handed_out.insert(port).second) {
            continue;
        }
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const int ec =
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        ::close(descriptor);
        if (ec == 0) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

http_server::http_server(std::uint16_t port, handler handle)
    : port_(port), handle_(std::move(handle)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener_, backlog) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int it : connections_) {
            ::shutdown(it, SHUT_RDWR);
        }
    }
    for (std::thread& it : threads_) {
        it.join();
    }
}

void http_server::accept_connections()
{
    while (!stopped_) {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        set_no_delay(descriptor);
        const std::lock_guard lock(mutex_);
        connections_.push_back(descriptor);
        threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void http_server::serve(int descriptor)
{
    std::string buf;
    char chunk[16384];
    message_head head;
    while (!stopped_) {
        if (!parse_head(buf, head) || buf.size() < head.size + head.body_size) {
            const ssize_t n = ::recv(descriptor, chunk, sizeof(chunk), 0);
            if (n <= 0) {
                break;
            }
            buf.append(chunk, static_cast<std::size_t>(n));
            continue;
        }
        http_request request;
        const std::size_t first = head.first_line.find(' ');
        const std::size_t second = head.first_line.find(' ', first + 1);
        request.method = head.first_line.substr(0, first);
        request.target = head.first_line.substr(first + 1, second - first - 1);
        request.headers = head.headers;
        request.body = buf.substr(head.size, head.body_size);
        buf.erase(0, head.size + head.body_size);
        const http_reply reply = handle_(request);
        if (reply.status == 0 || stopped_) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status) +
                                 " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!send_all(descriptor, text)) {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    std::erase(connections_, descriptor);
    ::close(descriptor);
}

client_connection::client_connection(std::uint16_t port)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(port);
    open_ =
        ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    set_no_delay(descriptor_);
}

client_connection::~client_connection()
{
    ::close(descriptor_);
}

http_reply client_connection::exchange(const http_request& request, milliseconds timeout)
{
    const steady::time_point end = steady::now() + timeout;
    http_reply reply;
    message_head head;
    open_ = open_ && send_all(descriptor_, encode(request));
    while (open_) {
        if (parse_head(buffer_, head) && buffer_.size() >= head.size + head.body_size) {
            reply.status = std::stoi(head.first_line.substr(head.first_line.find(' ') + 1));
            reply.body = buffer_.substr(head.size, head.body_size);
            buffer_.erase(0, head.size + head.body_size);
            break;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
        pollfd waiting{.fd = descriptor_, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        char chunk[16384];
        const ssize_t n = ::recv(descriptor_, chunk, sizeof(chunk), 0);
        open_ = n > 0;
        if (open_) {
            buffer_.append(chunk, static_cast<std::size_t>(n));
        }
    }
    return reply;
}

http_reply call(std::uint16_t port, const http_request& request, milliseconds timeout)
{
    return client_connection(port).exchange(request, timeout);
}

void send_and_break(std::uint16_t port, const http_request& request)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        std::string text = encode(request);
        text.pop_back();
        send_all(descriptor, text);
        const linger reset{.l_onoff = 1, .l_linger = 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    ::close(descriptor);
}

} // namespace review
