#include "papayafall/daemon/http/http_response.hpp"

#include "papayafall/platform/http/http_status_code.hpp"
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

} // namespace papayafall
