#include "partition.hpp"

#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

partition::partition(std::uint16_t to, milliseconds round_trip)
    : to_(to), round_trip_(round_trip), port_(free_port()),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = loopback(port_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener_, 64) != 0) {
        throw std::runtime_error("the proxy cannot listen");
    }
    acceptor_ = std::thread([this] { accept_connections(); });
}

partition::~partition()
{
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    for (const int it : descriptors_) {
        ::shutdown(it, SHUT_RDWR);
    }
    for (std::thread& it : threads_) {
        it.join();
    }
    for (const int it : descriptors_) {
        ::close(it);
    }
}

void partition::accept_connections()
{
    while (!stopped_) {
        const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(to_);
        const int on = 1;
        setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        descriptors_.push_back(client);
        descriptors_.push_back(server);
        if (::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            ::shutdown(client, SHUT_RDWR);
            continue;
        }
        threads_.emplace_back([this, client, server] { forward(client, server); });
        threads_.emplace_back([this, client, server] { forward(server, client); });
    }
}

void partition::forward(int from, int to)
{
    char chunk[16384];
    while (!stopped_) {
        const ssize_t n = ::recv(from, chunk, sizeof(chunk), 0);
        while (cut_ && !stopped_) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        if (n <= 0) {
            std::this_thread::sleep_for(round_trip_);
            ::shutdown(to, SHUT_WR);
            return;
        }
        for (ssize_t sent = 0; sent < n;) {
            const ssize_t m =
                ::send(to, chunk + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (m <= 0) {
                return;
            }
            sent += m;
        }
    }
}

} // namespace review
