#pragma once

#include "papayafall/core/values/time.hpp"

#include <QTcpSocket>

namespace papayafall {

/// Time since the kernel received the last data of the connection, also while this process did not
/// run; 0 if the kernel does not tell.
duration age_of_received_data(const QTcpSocket& socket);

/// Whether the peer has ended the connection and the kernel holds no more data of it. The socket
/// itself notices this only in a later iteration of the event loop.
bool is_ended_by_peer(const QTcpSocket& socket);

} // namespace papayafall
