#pragma once

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <QUdpSocket>

#include <cstdint>
#include <stdexcept>

namespace papayafall {

/// Finds a loopback port that is free for TCP and UDP. It is below the ephemeral ports, so that no
/// outgoing connection takes it before, or between two starts of, the program that listens on it.
inline std::uint16_t find_free_port()
{
    constexpr int first = 20000;
    constexpr int count = 12000;
    static int next = static_cast<int>(QCoreApplication::applicationPid() * 97 % count);
    for (int n = 0; n < count; ++n) {
        next = (next + 1) % count;
        const auto port = static_cast<std::uint16_t>(first + next);
        QTcpServer tcp;
        QUdpSocket udp;
        if (tcp.listen(QHostAddress::LocalHost, port) && udp.bind(QHostAddress::LocalHost, port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace papayafall
