#include "papayafall/daemon/http/http_response.hpp"

#include "papayafall/wire/http/http_status.hpp"
#include "papayafall/wire/http/problem_codec.hpp"

namespace papayafall {

namespace {

constexpr std::size_t typical_header_size = 256;

void append_header(std::string& message, std::string_view name, std::string_view value)
{
    message.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

http_response problem_response(const failure& reason, std::uint16_t status, time_point now)
{
    return http_response{
        .status = status,
        .content_type = "application/problem+json",
        .body = encode_problem(reason, status, now),
        .retry_after = retry_after(reason, now),
    };
}

http_response problem_response(const failure& reason, time_point now)
{
    return problem_response(reason, http_status(reason.id), now);
}

std::string encode_response(const http_response& response, const response_framing& framing)
{
    std::string message;
    message.reserve(typical_header_size + response.body.size());
    message.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    message.append(reason_phrase(response.status)).append("\r\n");
    append_header(message, "Content-Type", response.content_type);
    append_header(message, "Content-Length", std::to_string(response.body.size()));
    if (response.retry_after) {
        append_header(message, "Retry-After", std::to_string(response.retry_after->count()));
    }
    if (response.task_status) {
        append_header(message, "Papayafall-Task-Status", std::to_string(*response.task_status));
    }
    append_header(message, "Connection", framing.keep_alive ? "keep-alive" : "close");
    message.append("\r\n");
    if (!framing.without_body) {
        message.append(response.body);
    }
    return message;
}

std::string_view reason_phrase(std::uint16_t status) noexcept
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Unknown";
    }
}

} // namespace papayafall
