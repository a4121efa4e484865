#pragma once

#include <cstddef>
#include <cstdint>

namespace papayafall {

/// Version of the peer protocol. Messages of any other version are rejected.
inline constexpr std::uint8_t peer_protocol_version = 3;

/// Maximum datagram size in bytes, including the tag; it fits the usual MTU without fragmentation.
inline constexpr std::size_t max_datagram_size = 1400;

/// Maximum frame size in bytes, including the size field and the tag.
inline constexpr std::size_t max_frame_size = std::size_t{8} * 1024 * 1024;

/// Maximum frame size in bytes until both ends of a link have proved that they hold the shared key.
inline constexpr std::size_t max_hello_frame_size = 1024;

} // namespace papayafall
