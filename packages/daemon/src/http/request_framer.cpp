#include "papayafall/daemon/http/request_framer.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>

namespace papayafall {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view header_end = "\r\n\r\n";

/// What the header says about the extent of a request.
struct header_facts {
    std::optional<std::size_t> content_length;
    bool keep_alive = true;
    bool expects_continue = false;
};

/// The header is refused; caught in `request_framer::inspect_header`.
struct refusal {
    frame_refused reason;
};

[[noreturn]] void refuse(const char* detail)
{
    throw refusal{frame_refused{.detail = detail}};
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

/// Removes the next line from `rest` and returns it without its end.
std::string_view take_line(std::string_view& rest)
{
    const std::size_t n = rest.find(line_end);
    const std::string_view line = rest.substr(0, n);
    rest.remove_prefix(n + line_end.size());
    if (std::any_of(line.begin(), line.end(), is_control_character)) {
        refuse("the header has a control character");
    }
    return line;
}

std::size_t parse_length(std::string_view text)
{
    std::size_t n = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec == std::errc::result_out_of_range) {
        throw refusal{frame_refused{
            .status = 413, .id = error_id::request_too_large, .detail = "the body is too large"}};
    }
    if (ec != std::errc() || stop != end) {
        refuse("Content-Length is not a whole number");
    }
    return n;
}

/// Checks `METHOD target HTTP/1.x` and whether the version keeps connections open.
void read_request_line(std::string_view line, header_facts& facts)
{
    const std::size_t method = line.find(' ');
    const std::size_t target = line.rfind(' ');
    if (method == 0 || method == std::string_view::npos || target <= method + 1 ||
        line.find(' ', method + 1) != target) {
        refuse("the request line is malformed");
    }
    const std::string_view version = line.substr(target + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        throw refusal{frame_refused{.status = 505, .detail = "the version of HTTP is not 1.1"}};
    }
    facts.keep_alive = version == "HTTP/1.1";
}

void read_connection(std::string_view value, header_facts& facts)
{
    if (equal_ignoring_case(value, "keep-alive")) {
        facts.keep_alive = true;
        return;
    }
    facts.keep_alive = false;
}

void read_field(std::string_view line, header_facts& facts)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_character)) {
        refuse("a header line is malformed");
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (equal_ignoring_case(name, "content-length")) {
        if (facts.content_length) {
            refuse("Content-Length appears twice");
        }
        facts.content_length = parse_length(value);
    } else if (equal_ignoring_case(name, "transfer-encoding")) {
        throw refusal{frame_refused{.status = 411, .detail = "a body is sent with Content-Length"}};
    } else if (equal_ignoring_case(name, "upgrade")) {
        refuse("a change of protocol is not offered");
    } else if (equal_ignoring_case(name, "connection")) {
        read_connection(value, facts);
    } else if (equal_ignoring_case(name, "expect")) {
        facts.expects_continue = equal_ignoring_case(value, "100-continue");
    }
}

/// @param header request line and headers, each with its line end
header_facts read_header(std::string_view header)
{
    header_facts facts;
    read_request_line(take_line(header), facts);
    while (!header.empty()) {
        read_field(take_line(header), facts);
    }
    return facts;
}

} // namespace

frame request_framer::inspect(std::string_view buffered)
{
    if (frame_size_ == 0) {
        frame header = inspect_header(buffered);
        if (!std::holds_alternative<frame_complete>(header)) {
            return header;
        }
    }
    if (buffered.size() < frame_size_) {
        return frame_incomplete{.expects_continue = expects_continue_};
    }
    return frame_complete{.size = frame_size_, .keep_alive = keep_alive_};
}

void request_framer::next()
{
    searched_ = 0;
    frame_size_ = 0;
    keep_alive_ = true;
    expects_continue_ = false;
}

frame request_framer::inspect_header(std::string_view buffered)
{
    const std::size_t end = buffered.find(header_end, searched_);
    if (std::min(end, buffered.size()) > max_header_size_) {
        return frame_refused{
            .status = 431, .id = error_id::request_too_large, .detail = "the header is too large"};
    }
    if (end == std::string_view::npos) {
        searched_ = buffered.size() - std::min(buffered.size(), header_end.size() - 1);
        return frame_incomplete{};
    }
    try {
        const header_facts facts = read_header(buffered.substr(0, end + line_end.size()));
        const std::size_t body_size = facts.content_length.value_or(0);
        if (body_size > max_body_size_) {
            return frame_refused{.status = 413,
                                 .id = error_id::request_too_large,
                                 .detail = "the body is too large"};
        }
        frame_size_ = end + header_end.size() + body_size;
        keep_alive_ = facts.keep_alive;
        expects_continue_ = facts.expects_continue;
    } catch (const refusal& it) {
        return it.reason;
    }
    return frame_complete{};
}

} // namespace papayafall
