#include "papayafall/wire/peer/datagram.hpp"

#include "fields.hpp"

#include "papayafall/wire/peer/message_limits.hpp"

namespace papayafall {

namespace {

/// Authentication context of datagrams; a tag of a frame is not valid for a datagram.
constexpr std::string_view datagram_context = "papayafall datagram";

/// Reference time of the archive. A heartbeat holds no deadline, so its value has no effect.
constexpr time_point unused_now{};

heartbeat decode_content(std::string_view content)
{
    try {
        detail::message_input_archive in(content, unused_now);
        heartbeat beat;
        in(beat);
        in.expect_end();
        return beat;
    } catch (const cereal::Exception& ex) {
        throw message_error(error_id::malformed_message, ex.what());
    }
}

} // namespace

std::string encode_datagram(const heartbeat& beat, const message_authenticator& authenticator)
{
    detail::message_output_archive out(unused_now);
    out(peer_protocol_version, beat);
    std::string datagram = out.take();
    if (datagram.size() + authentication_tag_size > max_datagram_size) {
        throw message_error(error_id::message_too_large,
                            "heartbeat exceeds the maximum datagram size");
    }
    const authentication_tag tag = authenticator.sign(datagram_context, datagram);
    return datagram.append(tag.data(), tag.size());
}

heartbeat decode_datagram(std::string_view datagram, const message_authenticator& authenticator)
{
    if (datagram.size() > max_datagram_size) {
        throw message_error(error_id::message_too_large,
                            "datagram exceeds the maximum datagram size");
    }
    if (datagram.size() <= authentication_tag_size) {
        throw message_error(error_id::malformed_message,
                            "datagram is too short for an authentication tag");
    }
    if (static_cast<std::uint8_t>(datagram.front()) != peer_protocol_version) {
        throw message_error(error_id::unsupported_version,
                            "datagram has an unsupported protocol version");
    }
    const std::size_t size = datagram.size() - authentication_tag_size;
    authenticator.verify(datagram_context, datagram.substr(0, size), datagram.substr(size));
    return decode_content(datagram.substr(0, size).substr(sizeof(peer_protocol_version)));
}

} // namespace papayafall
