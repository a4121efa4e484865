#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/wire/peer/message_authenticator.hpp"

#include <string>
#include <string_view>

namespace papayafall {

/// Encodes a heartbeat as one authenticated datagram.
/// @throws message_error (`message_too_large`) if the datagram would exceed `max_datagram_size`
std::string encode_datagram(const heartbeat& beat, const message_authenticator& authenticator);

/// Verifies and decodes one datagram. Allocates at most a small multiple of its size.
/// @throws message_error if the datagram is not an authentic heartbeat of this protocol version
heartbeat decode_datagram(std::string_view datagram, const message_authenticator& authenticator);

} // namespace papayafall
