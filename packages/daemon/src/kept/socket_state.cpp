#include "socket_state.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>

namespace papayafall {

duration age_of_received_data(const QTcpSocket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool is_ended_by_peer(const QTcpSocket& socket)
{
    char next = 0;
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    const ssize_t n = recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace papayafall
