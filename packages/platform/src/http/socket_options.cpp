#include "papayafall/platform/http/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayafall {

namespace {

/// Time after which unacknowledged data closes the connection.
constexpr unsigned unacknowledged_timeout_ms = 2000;

} // namespace

void set_socket_options(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    // Errors are ignored: without the option, the deadlines of the calls still end the connection.
    [[maybe_unused]] const int ec =
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
                   sizeof(unacknowledged_timeout_ms));
}

} // namespace papayafall
