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

/// End of a link: the one that connected, or the one that accepted.
enum class link_role : std::uint8_t { initiator = 0, responder = 1 };

/// Where a frame stands on its link. It is part of the authenticated content and is not sent, so
/// that a frame which is replayed, reordered, reflected or moved to another link is not authentic.
struct frame_context {
    link_role sender = link_role::initiator;
    std::uint64_t sequence = 0;   ///< frames that the sender wrote before on this link
    link_nonce initiator_nonce{}; ///< zero in the first frame of the initiator
    link_nonce responder_nonce{}; ///< zero in the first frame of each end

    auto operator<=>(const frame_context&) const = default;
};

/// Encodes one message as a frame. Deadlines are written as time remaining at `now`.
/// @throws message_error `message_too_large` past `max_frame_size`
std::string encode_frame(const peer_message& message, const frame_context& context,
                         const message_authenticator& authenticator, time_point now);

/// Size in bytes of the frame that starts `received`, or empty while its size field is incomplete.
/// @param limit largest size that is acceptable at this point of the link
/// @throws message_error for a size that no valid frame has
std::optional<std::size_t> frame_size(std::string_view received, std::size_t limit);

/// Decodes and authenticates one whole frame. Remaining times become deadlines counted from `now`.
/// @throws message_error for anything but an authentic frame of this protocol version
peer_message decode_frame(std::string_view frame, const frame_context& context,
                          const message_authenticator& authenticator, time_point now);

} // namespace papayafall
