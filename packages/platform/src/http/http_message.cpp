#include "papayafall/platform/http/http_message.hpp"

#include "papayafall/platform/http/http_status_code.hpp"

#include <algorithm>
#include <cctype>

namespace papayafall {

namespace {

bool equal_ignoring_case(std::string_view lhs, std::string_view rhs)
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

void append_header(std::string& buf, std::string_view name, std::string_view text)
{
    buf.append(name).append(": ").append(text).append("\r\n");
}

} // namespace

std::string_view http_request_message::header(std::string_view name) const
{
    for (const auto& [key, text] : headers) {
        if (equal_ignoring_case(key, name)) {
            return text;
        }
    }
    return {};
}

std::string encode_request(const http_request_message& request, std::string_view host)
{
    std::string buf = request.method + " " + request.target + " HTTP/1.1\r\n";
    append_header(buf, "Host", host);
    for (const auto& [name, text] : request.headers) {
        append_header(buf, name, text);
    }
    if (!request.body.empty()) {
        append_header(buf, "Content-Type", request.content_type);
    }
    append_header(buf, "Content-Length", std::to_string(request.body.size()));
    if (!request.keep_alive) {
        append_header(buf, "Connection", "close");
    }
    return buf.append("\r\n").append(request.body);
}

std::string encode_reply(const http_reply_message& reply)
{
    std::string buf = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    buf.append(reason_phrase(reply.status)).append("\r\n");
    for (const auto& [name, text] : reply.headers) {
        append_header(buf, name, text);
    }
    if (!reply.body.empty()) {
        append_header(buf, "Content-Type", "application/json");
    }
    append_header(buf, "Content-Length", std::to_string(reply.body.size()));
    if (!reply.keep_alive) {
        append_header(buf, "Connection", "close");
    }
    return buf.append("\r\n").append(reply.body);
}

} // namespace papayafall
