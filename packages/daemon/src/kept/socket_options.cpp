#include "papayafall/daemon/kept/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayafall {

namespace {

/// Time that sent bytes may stay without acknowledgement.
constexpr unsigned unacknowledged_limit_ms = 2000;

} // namespace

void tune_socket(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    // Without the option the deadlines of the calls still end the connection.
    [[maybe_unused]] const int ec =
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_ms,
                   sizeof(unacknowledged_limit_ms));
}

} // namespace papayafall
