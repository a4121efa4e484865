#pragma once

#include <cstddef>
#include <cstdint>

namespace papayafall {

/// Version of the peer protocol that this code speaks; a message of any other version is rejected.
inline constexpr std::uint8_t peer_protocol_version = 3;

/// Largest datagram in bytes, tag included; it fits the usual MTU unfragmented.
inline constexpr std::size_t max_datagram_size = 1400;

/// Largest frame in bytes, size field and tag included.
inline constexpr std::size_t max_frame_size = std::size_t{8} * 1024 * 1024;

/// Largest frame in bytes before both ends of a link have proved that they hold the shared key.
inline constexpr std::size_t max_hello_frame_size = 1024;

} // namespace papayafall
