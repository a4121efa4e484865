#include "papayafall/daemon/http/request_framer.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>

namespace papayafall {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view header_end = "\r\n\r\n";

/// Header fields that delimit a request or control its connection.
struct framing_fields {
    std::optional<std::size_t> content_length;
    bool keep_alive = true;
    bool expects_continue = false;
};

/// Thrown for an unacceptable header and caught in `request_framer::inspect_header`.
struct header_rejection {
    frame_rejected reason;
};

[[noreturn]] void throw_header_rejection(const char* detail)
{
    throw header_rejection{frame_rejected{.detail = detail}};
}

bool equal_ignoring_case(std::string_view lhs, std::string_view rhs) noexcept
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [lower](char a, char b) { return lower(a) == lower(b); });
}

std::string_view trim(std::string_view text) noexcept
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_token_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_control_character(char c) noexcept
{
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
}

/// Removes the next line from `rest` and returns it without its line end.
std::string_view take_line(std::string_view& rest)
{
    const std::size_t n = rest.find(line_end);
    const std::string_view line = rest.substr(0, n);
    rest.remove_prefix(n + line_end.size());
    if (std::any_of(line.begin(), line.end(), is_control_character)) {
        throw_header_rejection("the header contains a control character");
    }
    return line;
}

std::size_t parse_content_length(std::string_view text)
{
    std::size_t n = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec == std::errc::result_out_of_range) {
        throw header_rejection{frame_rejected{.status = 413,
                                              .id = error_id::request_too_large,
                                              .detail = "the body exceeds the size limit"}};
    }
    if (ec != std::errc() || stop != end) {
        throw_header_rejection("Content-Length is not a decimal number");
    }
    return n;
}

/// Checks `METHOD target HTTP/1.x` and sets the default of `keep_alive` for the version.
void parse_request_line(std::string_view line, framing_fields& fields)
{
    const std::size_t method_end = line.find(' ');
    const std::size_t target_end = line.rfind(' ');
    if (method_end == 0 || method_end == std::string_view::npos || target_end <= method_end + 1 ||
        line.find(' ', method_end + 1) != target_end) {
        throw_header_rejection("malformed request line");
    }
    const std::string_view version = line.substr(target_end + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        throw header_rejection{
            frame_rejected{.status = 505, .detail = "unsupported HTTP version; use HTTP/1.1"}};
    }
    fields.keep_alive = version == "HTTP/1.1";
}

void parse_connection_header(std::string_view value, framing_fields& fields)
{
    if (equal_ignoring_case(value, "keep-alive")) {
        fields.keep_alive = true;
        return;
    }
    fields.keep_alive = false;
}

void parse_header_field(std::string_view line, framing_fields& fields)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_character)) {
        throw_header_rejection("malformed header field");
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (equal_ignoring_case(name, "content-length")) {
        if (fields.content_length) {
            throw_header_rejection("duplicate Content-Length");
        }
        fields.content_length = parse_content_length(value);
    } else if (equal_ignoring_case(name, "transfer-encoding")) {
        throw header_rejection{frame_rejected{
            .status = 411, .detail = "Transfer-Encoding is not supported; send Content-Length"}};
    } else if (equal_ignoring_case(name, "upgrade")) {
        throw_header_rejection("protocol upgrade is not supported");
    } else if (equal_ignoring_case(name, "connection")) {
        parse_connection_header(value, fields);
    } else if (equal_ignoring_case(name, "expect")) {
        fields.expects_continue = equal_ignoring_case(value, "100-continue");
    }
}

/// @param header request line and header fields, each with its line end
framing_fields parse_header(std::string_view header)
{
    framing_fields fields;
    parse_request_line(take_line(header), fields);
    while (!header.empty()) {
        parse_header_field(take_line(header), fields);
    }
    return fields;
}

} // namespace

framing_result request_framer::inspect(std::string_view buffered)
{
    if (frame_size_ == 0) {
        framing_result header = inspect_header(buffered);
        if (!std::holds_alternative<frame_complete>(header)) {
            return header;
        }
    }
    if (buffered.size() < frame_size_) {
        return frame_incomplete{.expects_continue = expects_continue_};
    }
    return frame_complete{.size = frame_size_, .keep_alive = keep_alive_};
}

void request_framer::reset()
{
    searched_size_ = 0;
    frame_size_ = 0;
    keep_alive_ = true;
    expects_continue_ = false;
}

framing_result request_framer::inspect_header(std::string_view buffered)
{
    const std::size_t end = buffered.find(header_end, searched_size_);
    if (std::min(end, buffered.size()) > max_header_size_) {
        return frame_rejected{.status = 431,
                              .id = error_id::request_too_large,
                              .detail = "the request line and headers exceed the size limit"};
    }
    if (end == std::string_view::npos) {
        searched_size_ = buffered.size() - std::min(buffered.size(), header_end.size() - 1);
        return frame_incomplete{};
    }
    try {
        const framing_fields fields = parse_header(buffered.substr(0, end + line_end.size()));
        const std::size_t body_size = fields.content_length.value_or(0);
        if (body_size > max_body_size_) {
            return frame_rejected{.status = 413,
                                  .id = error_id::request_too_large,
                                  .detail = "the body exceeds the size limit"};
        }
        frame_size_ = end + header_end.size() + body_size;
        keep_alive_ = fields.keep_alive;
        expects_continue_ = fields.expects_continue;
    } catch (const header_rejection& it) {
        return it.reason;
    }
    return frame_complete{};
}

} // namespace papayafall
