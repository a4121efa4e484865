#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/wire/peer/message_authenticator.hpp"

#include <string>
#include <string_view>

namespace papayafall {

/// Encodes a heartbeat as one datagram.
/// @throws message_error `message_too_large` past `max_datagram_size`
std::string encode_datagram(const heartbeat& beat, const message_authenticator& authenticator);

/// Decodes and authenticates one datagram; allocates no more than a small multiple of its size.
/// @throws message_error for anything but an authentic heartbeat of this protocol version
heartbeat decode_datagram(std::string_view datagram, const message_authenticator& authenticator);

} // namespace papayafall
