#pragma once

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/core/values/time.hpp"

#include <cereal/cereal.hpp>

#include <bit>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace papayafall::detail {

static_assert(std::endian::native == std::endian::little, "the peer protocol is little-endian");

/// Output archive for cereal that appends to a string. Deadlines are written as the time remaining
/// at `now`.
class message_output_archive
    : public cereal::OutputArchive<message_output_archive, cereal::AllowEmptyClassElision> {
  public:
    explicit message_output_archive(time_point now) : OutputArchive(this), now_(now) {}

    void append(const void* data, std::size_t size)
    {
        buffer_.append(static_cast<const char*>(data), size);
    }

    time_point now() const noexcept { return now_; }

    std::string take() { return std::move(buffer_); }

  private:
    std::string buffer_;
    time_point now_;
};

/// Input archive for cereal over received bytes. Every length is checked against the number of
/// remaining bytes before it is used.
class message_input_archive
    : public cereal::InputArchive<message_input_archive, cereal::AllowEmptyClassElision> {
  public:
    message_input_archive(std::string_view received, time_point now)
        : InputArchive(this), remaining_(received), now_(now)
    {
    }

    /// Consumes and returns the next `size` bytes.
    /// @throws message_error (`malformed_message`) if fewer bytes remain
    std::string_view take(std::size_t size)
    {
        if (size > remaining_.size()) {
            throw message_error(error_id::malformed_message, "message is truncated inside a field");
        }
        const std::string_view taken = remaining_.substr(0, size);
        remaining_.remove_prefix(size);
        return taken;
    }

    std::size_t remaining() const noexcept { return remaining_.size(); }

    time_point now() const noexcept { return now_; }

    /// @throws message_error (`malformed_message`) if any bytes remain
    void expect_end() const
    {
        if (!remaining_.empty()) {
            throw message_error(error_id::malformed_message, "message has trailing bytes");
        }
    }

  private:
    std::string_view remaining_;
    time_point now_;
};

template <typename Number>
concept wire_number = std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>;

template <wire_number Number>
void save(message_output_archive& out, const Number& it)
{
    out.append(&it, sizeof(it));
}

template <wire_number Number>
void load(message_input_archive& in, Number& it)
{
    std::memcpy(&it, in.take(sizeof(it)).data(), sizeof(it));
}

template <std::same_as<bool> Bool>
void save(message_output_archive& out, const Bool& it)
{
    out(static_cast<std::uint8_t>(it ? 1 : 0));
}

template <std::same_as<bool> Bool>
void load(message_input_archive& in, Bool& it)
{
    std::uint8_t number = 0;
    in(number);
    if (number > 1) {
        throw message_error(error_id::malformed_message, "boolean field is neither 0 nor 1");
    }
    it = number == 1;
}

/// Lengths are encoded as 32-bit integers.
template <typename Size>
void save(message_output_archive& out, const cereal::SizeTag<Size>& it)
{
    if (it.size > std::numeric_limits<std::uint32_t>::max()) {
        throw message_error(error_id::message_too_large, "length does not fit its 32-bit field");
    }
    out(static_cast<std::uint32_t>(it.size));
}

/// Each element takes at least one byte, so a length above the number of remaining bytes is
/// invalid.
template <typename Size>
void load(message_input_archive& in, cereal::SizeTag<Size>& it)
{
    std::uint32_t size = 0;
    in(size);
    if (size > in.remaining()) {
        throw message_error(error_id::malformed_message,
                            "length field exceeds the rest of the message");
    }
    it.size = size;
}

template <typename Archive, typename Value>
void serialize(Archive& archive, cereal::NameValuePair<Value>& it)
{
    archive(it.value);
}

template <std::same_as<std::string> String>
void save(message_output_archive& out, const String& it)
{
    out(cereal::make_size_tag(it.size()));
    out.append(it.data(), it.size());
}

template <std::same_as<std::string> String>
void load(message_input_archive& in, String& it)
{
    std::size_t size = 0;
    in(cereal::make_size_tag(size));
    it = in.take(size);
}

} // namespace papayafall::detail

CEREAL_SETUP_ARCHIVE_TRAITS(papayafall::detail::message_input_archive,
                            papayafall::detail::message_output_archive)
