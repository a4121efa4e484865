#include "papayafall/wire/peer/frame.hpp"

#include "fields.hpp"

#include "papayafall/wire/peer/message_limits.hpp"

#include <array>
#include <cstring>
#include <utility>

namespace papayafall {

namespace {

using size_field = std::uint32_t;

/// Size in bytes of the frame header: the size field, the version and the message kind.
constexpr std::size_t header_size = sizeof(size_field) + 2;

constexpr std::size_t min_frame_size = header_size + authentication_tag_size;

/// Encodes a context as input of the authentication tag.
std::string encode_context(const frame_context& context)
{
    detail::message_output_archive out({});
    out(static_cast<std::uint8_t>(context.sender), context.sequence, context.initiator_nonce,
        context.responder_nonce);
    return out.take();
}

template <typename Field>
Field read_field(detail::message_input_archive& in)
{
    Field it{};
    in(it);
    return it;
}

void write_fields(detail::message_output_archive& out, const hello& it)
{
    out(it.sender, it.zone, it.nonce);
}

void write_fields(detail::message_output_archive& /*out*/, const link_heartbeat& /*it*/) {}

void write_fields(detail::message_output_archive& out, const forwarded_request& it)
{
    out(it.correlation, it.content);
}

void write_fields(detail::message_output_archive& out, const forwarded_cancel& it)
{
    out(it.correlation, it.key);
}

void write_fields(detail::message_output_archive& out, const forwarded_answer& it)
{
    out(it.correlation, it.result);
}

void write_fields(detail::message_output_archive& out, const delegated_work& it)
{
    out(it.exchange, it.work);
}

void write_fields(detail::message_output_archive& out, const delegation_cancel& it)
{
    out(it.exchange);
}

void write_fields(detail::message_output_archive& out, const delegation_answer& it)
{
    out(it.exchange, it.result);
}

void write_fields(detail::message_output_archive& /*out*/, const configuration_request& /*it*/) {}

void write_fields(detail::message_output_archive& out, const configuration_reply& it)
{
    out(it.content, it.origin);
}

/// Reads a message of type `Message`. Braced initialization guarantees that the fields are read in
/// order.
template <typename Message>
Message read_message(detail::message_input_archive& in);

template <>
hello read_message(detail::message_input_archive& in)
{
    return {read_field<peer_id>(in), read_field<zone_name>(in), read_field<link_nonce>(in)};
}

template <>
link_heartbeat read_message(detail::message_input_archive& /*in*/)
{
    return {};
}

template <>
forwarded_request read_message(detail::message_input_archive& in)
{
    return {read_field<correlation_id>(in), read_field<request>(in)};
}

template <>
forwarded_cancel read_message(detail::message_input_archive& in)
{
    return {read_field<correlation_id>(in), read_field<request_key>(in)};
}

template <>
forwarded_answer read_message(detail::message_input_archive& in)
{
    return {read_field<correlation_id>(in), read_field<answer>(in)};
}

template <>
delegated_work read_message(detail::message_input_archive& in)
{
    return {read_field<exchange_id>(in), read_field<work_item>(in)};
}

template <>
delegation_cancel read_message(detail::message_input_archive& in)
{
    return {read_field<exchange_id>(in)};
}

template <>
delegation_answer read_message(detail::message_input_archive& in)
{
    return {read_field<exchange_id>(in), read_field<task_result>(in)};
}

template <>
configuration_request read_message(detail::message_input_archive& /*in*/)
{
    return {};
}

template <>
configuration_reply read_message(detail::message_input_archive& in)
{
    return {read_field<configuration>(in), read_field<std::optional<change_origin>>(in)};
}

template <std::size_t... Index>
peer_message read_message_of_kind(detail::message_input_archive& in, std::size_t kind,
                                  std::index_sequence<Index...>)
{
    using reader = peer_message (*)(detail::message_input_archive&);
    constexpr std::array<reader, peer_message_kind_count> readers = {
        [](detail::message_input_archive& it) {
            return peer_message(read_message<std::variant_alternative_t<Index, peer_message>>(it));
        }...};
    if (kind >= readers.size()) {
        throw message_error(error_id::malformed_message, "frame has an unknown message kind");
    }
    return readers[kind](in);
}

peer_message decode_content(std::string_view content, std::size_t kind, time_point now)
{
    try {
        detail::message_input_archive in(content, now);
        peer_message message =
            read_message_of_kind(in, kind, std::make_index_sequence<peer_message_kind_count>());
        in.expect_end();
        return message;
    } catch (const cereal::Exception& ex) {
        throw message_error(error_id::malformed_message, ex.what());
    }
}

} // namespace

std::string encode_frame(const peer_message& message, const frame_context& context,
                         const message_authenticator& authenticator, time_point now)
{
    detail::message_output_archive out(now);
    out(size_field{0}, peer_protocol_version, static_cast<std::uint8_t>(message.index()));
    std::visit([&out](const auto& it) { write_fields(out, it); }, message);
    std::string frame = out.take();

    const std::size_t size = frame.size() + authentication_tag_size;
    if (size > max_frame_size) {
        throw message_error(error_id::message_too_large, "message exceeds the maximum frame size");
    }
    const auto field = static_cast<size_field>(size);
    std::memcpy(frame.data(), &field, sizeof(field));
    const authentication_tag tag = authenticator.sign(encode_context(context), frame);
    return frame.append(tag.data(), tag.size());
}

std::optional<std::size_t> frame_size(std::string_view received, std::size_t limit)
{
    if (received.size() < sizeof(size_field)) {
        return std::nullopt;
    }
    size_field size = 0;
    std::memcpy(&size, received.data(), sizeof(size));
    if (size < min_frame_size) {
        throw message_error(error_id::malformed_message,
                            "frame size is too small for header and tag");
    }
    if (size > limit) {
        throw message_error(error_id::message_too_large, "frame size exceeds its limit");
    }
    return size;
}

peer_message decode_frame(std::string_view frame, const frame_context& context,
                          const message_authenticator& authenticator, time_point now)
{
    if (frame_size(frame, max_frame_size) != frame.size()) {
        throw message_error(error_id::malformed_message,
                            "frame length differs from its size field");
    }
    const auto version = static_cast<std::uint8_t>(frame[sizeof(size_field)]);
    if (version != peer_protocol_version) {
        throw message_error(error_id::unsupported_version,
                            "frame has an unsupported protocol version");
    }
    const std::size_t size = frame.size() - authentication_tag_size;
    authenticator.verify(encode_context(context), frame.substr(0, size), frame.substr(size));

    const auto kind = static_cast<std::uint8_t>(frame[header_size - 1]);
    return decode_content(frame.substr(header_size, size - header_size), kind, now);
}

} // namespace papayafall
