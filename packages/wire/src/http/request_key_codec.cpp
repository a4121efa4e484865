#include "papayafall/wire/http/request_key_codec.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/http/ticket_codec.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace papayafall {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_offset = 14;
constexpr std::size_t uuid_variant_offset = 19;
constexpr int hex_base = 16;

bool is_visible(char c) noexcept
{
    return c > ' ' && c < '\x7f';
}

bool is_hex_digit(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool is_hyphen_position(std::size_t n) noexcept
{
    return n == 8 || n == 13 || n == 18 || n == 23;
}

char to_lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Removes one pair of double quotes around `text`, if there is one.
std::string_view without_quotes(std::string_view text) noexcept
{
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return text;
    }
    return text.substr(1, text.size() - 2);
}

/// Returns whether `text`, which must be lower-case, is a UUIDv7.
bool is_uuid_v7(std::string_view text) noexcept
{
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (is_hyphen_position(n) ? text[n] != '-' : !is_hex_digit(text[n])) {
            return false;
        }
    }
    return text[uuid_version_offset] == '7' &&
           std::string_view("89ab").find(text[uuid_variant_offset]) != std::string_view::npos;
}

/// Returns the creation time of a UUIDv7: its first 48 bits, in milliseconds since the Unix epoch.
wall_time creation_time(std::string_view uuid)
{
    const std::string digits = std::string(uuid.substr(0, 8)) + std::string(uuid.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, hex_base);
    return wall_time(std::chrono::milliseconds(milliseconds));
}

struct key_encoder {
    std::string operator()(const ticket& it) const { return encode_ticket(it); }

    std::string operator()(const caller_key& it) const { return it.text; }
};

} // namespace

request_key parse_request_key(std::string_view text)
{
    const std::string_view key = without_quotes(text);
    if (key.empty() || key.size() > max_request_key_length ||
        !std::all_of(key.begin(), key.end(), is_visible)) {
        throw request_error(error_id::invalid_key,
                            "key must have 1 to 128 visible ASCII characters without spaces");
    }
    if (has_ticket_version_prefix(key)) {
        return parse_ticket(key);
    }
    std::string lower(key);
    std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
    if (is_uuid_v7(lower)) {
        const wall_time created_at = creation_time(lower);
        return caller_key{.text = std::move(lower), .created_at = created_at};
    }
    return caller_key{.text = std::string(key), .created_at = std::nullopt};
}

std::string encode_request_key(const request_key& key)
{
    return std::visit(key_encoder{}, key);
}

} // namespace papayafall
