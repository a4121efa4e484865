#include "papayafall/daemon/http/listening_socket.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace papayafall {

namespace {

constexpr int listen_backlog = 1024;

using address_list = std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)>;

[[noreturn]] void throw_settings_error(const endpoint& address, const std::string& reason)
{
    throw configuration_error(error_id::invalid_settings, "/http/listen",
                              address.address + ":" + std::to_string(address.port) + ": " + reason);
}

std::string last_error()
{
    return std::error_code(errno, std::generic_category()).message();
}

address_list resolve(const endpoint& address)
{
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    const std::string port = std::to_string(address.port);
    const int rc = ::getaddrinfo(address.address.c_str(), port.c_str(), &hints, &found);
    if (rc != 0) {
        throw_settings_error(address, ::gai_strerror(rc));
    }
    return {found, &::freeaddrinfo};
}

std::uint16_t bound_port(int descriptor)
{
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    if (bound.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

bool listen_on(int descriptor, const addrinfo& address)
{
    const int on = 1;
    return ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
           ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
           ::bind(descriptor, address.ai_addr, address.ai_addrlen) == 0 &&
           ::listen(descriptor, listen_backlog) == 0;
}

} // namespace

listening_socket::listening_socket(const endpoint& address)
{
    const address_list found = resolve(address);
    descriptor_ = ::socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) {
        throw_settings_error(address, last_error());
    }
    if (!listen_on(descriptor_, *found)) {
        const std::string reason = last_error();
        ::close(descriptor_);
        throw_settings_error(address, reason);
    }
    port_ = bound_port(descriptor_);
}

listening_socket::~listening_socket()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

int listening_socket::release() noexcept
{
    return std::exchange(descriptor_, -1);
}

} // namespace papayafall
