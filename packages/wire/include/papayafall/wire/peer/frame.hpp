#pragma once

#include "papayafall/core/values/time.hpp"
#include "papayafall/wire/peer/message_authenticator.hpp"
#include "papayafall/wire/peer/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// End of a link: the host that opened the connection, or the host that accepted it.
enum class link_role : std::uint8_t { initiator = 0, responder = 1 };

/// Position of a frame on its link. The authentication tag covers it, but it is not sent, so that
/// a frame that is replayed, reordered, reflected or moved to another link fails authentication.
struct frame_context {
    link_role sender = link_role::initiator;
    std::uint64_t sequence = 0;   ///< number of frames that the sender sent earlier on this link
    link_nonce initiator_nonce{}; ///< zero in the first frame of the initiator
    link_nonce responder_nonce{}; ///< zero in the first frame of each end

    auto operator<=>(const frame_context&) const = default;
};

/// Encodes one message as an authenticated frame. Deadlines are written as the time remaining at
/// `now`, because the clocks of two hosts are not comparable.
/// @throws message_error (`message_too_large`) if the frame would exceed `max_frame_size`
std::string encode_frame(const peer_message& message, const frame_context& context,
                         const message_authenticator& authenticator, time_point now);

/// Returns the size in bytes of the frame at the start of `received`, or empty while its size
/// field is incomplete.
/// @param limit largest acceptable size in bytes at this point of the link
/// @throws message_error if the size is too small for a frame or exceeds `limit`
std::optional<std::size_t> frame_size(std::string_view received, std::size_t limit);

/// Verifies and decodes one complete frame. Remaining times become deadlines relative to `now`.
/// @throws message_error if `frame` is not an authentic frame of this protocol version
peer_message decode_frame(std::string_view frame, const frame_context& context,
                          const message_authenticator& authenticator, time_point now);

} // namespace papayafall
