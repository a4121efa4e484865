#include "papayafall/wire/http/ticket_codec.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace papayafall {

namespace {

constexpr std::string_view ticket_prefix = "t1.";
constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_hex_digits = 16;
constexpr int hex_base = 16;

[[noreturn]] void reject(const char* reason)
{
    throw request_error(error_id::invalid_key, std::string("ticket: ") + reason);
}

bool is_name_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool is_hex_digit(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

std::string encode_hex(std::uint64_t number)
{
    std::array<char, max_hex_digits> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number, hex_base);
    return {buf.data(), end};
}

/// Returns the text before the next `.` and removes both from `rest`.
std::string_view take_field(std::string_view& rest)
{
    const std::size_t n = rest.find('.');
    if (n == std::string_view::npos) {
        reject("missing field");
    }
    const std::string_view field = rest.substr(0, n);
    rest.remove_prefix(n + 1);
    return field;
}

std::string parse_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_length ||
        !std::all_of(text.begin(), text.end(), is_name_character)) {
        reject("name must have 1 to 63 characters of a-z, 0-9 and -");
    }
    return std::string(text);
}

std::uint64_t parse_hex(std::string_view text)
{
    if (text.empty() || text.size() > max_hex_digits ||
        !std::all_of(text.begin(), text.end(), is_hex_digit)) {
        reject("number must have 1 to 16 lower-case hexadecimal digits");
    }
    if (text.size() > 1 && text.front() == '0') {
        reject("number has a leading zero");
    }
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, hex_base);
    return number;
}

} // namespace

std::string encode_ticket(const ticket& issued)
{
    return std::string(ticket_prefix) + issued.zone.text() + '.' + issued.host.text() + '.' +
           encode_hex(issued.incarnation.value()) + '.' + encode_hex(issued.sequence);
}

ticket parse_ticket(std::string_view text)
{
    if (!text.starts_with(ticket_prefix)) {
        reject("unsupported version");
    }
    std::string_view rest = text.substr(ticket_prefix.size());
    const std::string_view zone = take_field(rest);
    const std::string_view host = take_field(rest);
    const std::string_view incarnation = take_field(rest);
    return ticket{
        .zone = zone_name(parse_name(zone)),
        .host = host_name(parse_name(host)),
        .incarnation = incarnation_id(parse_hex(incarnation)),
        .sequence = parse_hex(rest),
    };
}

bool has_ticket_version_prefix(std::string_view text) noexcept
{
    const std::size_t n = text.find('.');
    if (n == std::string_view::npos || n < 2 || text.front() != 't') {
        return false;
    }
    const std::string_view version = text.substr(1, n - 1);
    return std::all_of(version.begin(), version.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace papayafall
