#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr std::string_view header_end = "\r\n\r\n";
constexpr int listen_backlog = 512;
constexpr std::uint16_t first_port = 21'000;
constexpr std::uint16_t last_port = 31'000;
constexpr int port_spread = 97;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int open_socket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::runtime_error("no socket");
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

int open_listener(std::uint16_t port)
{
    const int descriptor = open_socket();
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lower_case(std::string text)
{
    for (char& it : text) {
        it = it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    }
    return text;
}

/// Takes the first complete message off the input.
std::optional<http_message> take_message(std::string& input)
{
    const std::size_t end = input.find(header_end);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    http_message found;
    std::istringstream lines(input.substr(0, end));
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (found.start_line.empty()) {
            found.start_line = line;
        } else if (colon != std::string::npos) {
            const std::size_t text = line.find_first_not_of(' ', colon + 1);
            found.headers[lower_case(line.substr(0, colon))] =
                text == std::string::npos ? "" : line.substr(text);
        }
    }
    const std::string length = found.header("content-length");
    const std::size_t body_size = length.empty() ? 0 : std::stoul(length);
    const std::size_t size = end + header_end.size() + body_size;
    if (input.size() < size) {
        return std::nullopt;
    }
    found.body = input.substr(end + header_end.size(), body_size);
    input.erase(0, size);
    return found;
}

} // namespace

std::string http_message::word(int index) const
{
    std::istringstream words(start_line);
    std::string found;
    for (int n = 0; n <= index; ++n) {
        found.clear();
        words >> found;
    }
    return found;
}

std::string http_message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

http_stream::http_stream(event_loop& loop, int descriptor, bool connected)
    : loop_(loop), descriptor_(descriptor), connected_(connected)
{
}

http_stream::~http_stream()
{
    close();
}

void http_stream::open()
{
    update_watch();
}

void http_stream::write(const std::string& bytes)
{
    if (!is_open()) {
        return;
    }
    output_ += bytes;
    if (connected_) {
        write_available();
    }
    if (is_open()) {
        update_watch();
    }
}

void http_stream::close()
{
    if (!is_open()) {
        return;
    }
    loop_.forget(descriptor_);
    ::close(std::exchange(descriptor_, -1));
}

void http_stream::update_watch()
{
    const bool writes = !connected_ || !output_.empty();
    const std::weak_ptr<http_stream> self = weak_from_this();
    loop_.watch(descriptor_, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)),
                [self](short events) {
                    if (const http_stream_ptr it = self.lock()) {
                        it->on_ready(events);
                    }
                });
}

void http_stream::on_ready(short events)
{
    if ((events & POLLOUT) != 0) {
        connected_ = true;
        write_available();
    }
    if (is_open() && (events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        read_available();
    }
    if (is_open()) {
        update_watch();
    }
}

void http_stream::read_available()
{
    std::array<char, 65536> buf{};
    bool ended = false;
    while (true) {
        const ssize_t n = ::recv(descriptor_, buf.data(), buf.size(), 0);
        if (n > 0) {
            input_.append(buf.data(), static_cast<std::size_t>(n));
            continue;
        }
        ended = n == 0 || (errno != EAGAIN && errno != EINTR);
        break;
    }
    while (is_open()) {
        const auto message = take_message(input_);
        if (!message) {
            break;
        }
        if (on_message) {
            on_message(*message);
        }
    }
    if (ended && is_open()) {
        end();
    }
}

void http_stream::write_available()
{
    while (!output_.empty()) {
        const ssize_t n = ::send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
        if (n > 0) {
            output_.erase(0, static_cast<std::size_t>(n));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            end();
        }
        return;
    }
}

void http_stream::end()
{
    close();
    if (on_end) {
        const auto handle = on_end;
        handle();
    }
}

std::string encode_response(int status, const std::string& body, bool keep_alive)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + (keep_alive ? "" : "\r\nConnection: close") + "\r\n\r\n" +
           body;
}

std::uint16_t find_free_port()
{
    // Cases that run at the same time begin at ports that lie apart.
    static auto next = static_cast<std::uint16_t>(first_port + ::getpid() * port_spread %
                                                                   (last_port - first_port));
    while (true) {
        next = next >= last_port ? first_port : static_cast<std::uint16_t>(next + 1);
        const int descriptor = open_listener(next);
        if (descriptor >= 0) {
            ::close(descriptor);
            return next;
        }
    }
}

http_server::http_server(event_loop& loop, std::uint16_t port, request_handler handle)
    : loop_(loop), port_(port), handle_(std::move(handle))
{
    open();
}

http_server::~http_server()
{
    close();
}

void http_server::open()
{
    listener_ = open_listener(port_);
    if (listener_ < 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port_));
    }
    loop_.watch(listener_, POLLIN, [this](short) { accept_connection(); });
}

void http_server::close()
{
    if (listener_ >= 0) {
        loop_.forget(listener_);
        ::close(std::exchange(listener_, -1));
    }
    for (const http_stream_ptr& it : std::exchange(streams_, {})) {
        it->close();
    }
}

void http_server::accept_connection()
{
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto stream = std::make_shared<http_stream>(loop_, descriptor, true);
    const std::weak_ptr<http_stream> weak = stream;
    stream->on_message = [this, weak](const http_message& request) {
        const reply_function reply = [weak](int status, const std::string& body) {
            if (const http_stream_ptr it = weak.lock()) {
                it->write(encode_response(status, body));
            }
        };
        handle_(request, reply);
    };
    stream->on_end = [this, weak] { streams_.erase(weak.lock()); };
    streams_.insert(stream);
    stream->open();
}

void http_client::send(const std::string& method, const std::string& path,
                       const std::map<std::string, std::string>& headers, const std::string& body,
                       milliseconds wait, result_handler handle)
{
    handle_ = std::move(handle);
    const std::uint64_t call = ++calls_;
    const std::weak_ptr<http_client> self = weak_from_this();
    if (!is_open()) {
        const int descriptor = open_socket();
        const sockaddr_in address = loopback(port_);
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        stream_ = std::make_shared<http_stream>(loop_, descriptor, false);
        stream_->on_message = [self](const http_message& response) {
            if (const auto it = self.lock()) {
                if (!response.keep_alive()) {
                    it->stream_->close();
                }
                it->finish({.status = std::stoi(response.word(1)), .body = response.body});
            }
        };
        stream_->on_end = [self] {
            if (const auto it = self.lock()) {
                it->finish({});
            }
        };
        stream_->open();
    }
    std::string message = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, text] : headers) {
        message += name + ": " + text + "\r\n";
    }
    message += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    stream_->write(message);
    loop_.after(wait, [self, call] {
        const auto it = self.lock();
        if (it != nullptr && it->calls_ == call && it->handle_) {
            it->stream_->close();
            it->finish({.timed_out = true});
        }
    });
}

void http_client::close()
{
    handle_ = nullptr;
    if (stream_ != nullptr) {
        stream_->close();
    }
}

void http_client::finish(const call_result& result)
{
    if (const result_handler handle = std::exchange(handle_, nullptr)) {
        handle(result);
    }
}

} // namespace review
