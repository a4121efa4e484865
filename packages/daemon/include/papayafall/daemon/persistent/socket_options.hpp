#pragma once

#include <QTcpSocket>

namespace papayafall {

/// Sends small messages at once, and lets a connection whose peer is silent end by itself.
void set_socket_options(QTcpSocket& socket);

} // namespace papayafall
