#pragma once

#include <QTcpSocket>

namespace papayafall {

/// Disables the delay of small messages (`TCP_NODELAY`) and limits the time without an
/// acknowledgement from the peer (`TCP_USER_TIMEOUT`).
void set_socket_options(QTcpSocket& socket);

} // namespace papayafall
