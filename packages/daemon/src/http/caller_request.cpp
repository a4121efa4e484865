#include "papayafall/daemon/http/caller_request.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/http/answer_codec.hpp"
#include "papayafall/wire/http/request_key_codec.hpp"

#include <QByteArray>

#include <optional>
#include <string_view>

namespace papayafall {

namespace {

constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view requests_path = "/v1/requests/";

[[noreturn]] void throw_not_found()
{
    throw request_error(error_id::not_found, "unknown path, or method not supported on this path");
}

std::string percent_decode(std::string_view text)
{
    const auto encoded = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    return QByteArray::fromPercentEncoding(encoded).toStdString();
}

submit_call decode_submission(const http_request& incoming, time_point now)
{
    const std::string_view rest = std::string_view(incoming.path).substr(services_path.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos) {
        throw_not_found();
    }
    const std::string_view service = rest.substr(0, slash);
    const std::string_view collection = rest.substr(slash + 1);
    if (collection == "requests") {
        return {request_kind::single,
                decode_single_request(service, incoming.headers, incoming.body, now)};
    }
    if (collection == "jobs") {
        return {request_kind::job, decode_job(service, incoming.headers, incoming.body, now)};
    }
    throw_not_found();
}

caller_request decode_post(const http_request& incoming, time_point now)
{
    if (incoming.path.starts_with(services_path)) {
        return decode_submission(incoming, now);
    }
    if (incoming.path == "/v1/tickets") {
        return tickets_call{decode_ticket_count(incoming.body)};
    }
    throw_not_found();
}

caller_request decode_delete(const http_request& incoming)
{
    if (!incoming.path.starts_with(requests_path)) {
        throw_not_found();
    }
    const std::string_view key = std::string_view(incoming.path).substr(requests_path.size());
    return cancel_call{parse_request_key(percent_decode(key))};
}

caller_request decode_get(const http_request& incoming)
{
    if (incoming.path == "/healthz") {
        return monitoring_page::health;
    }
    if (incoming.path == "/readyz") {
        return monitoring_page::readiness;
    }
    if (incoming.path == "/metrics") {
        return monitoring_page::metrics;
    }
    if (incoming.path == "/v1/status") {
        return monitoring_page::status;
    }
    throw_not_found();
}

http_response encode_single(const completion& result)
{
    ensure(result->answers.size() == 1, "a single request has exactly one answer");
    const task_answer& only = result->answers.front();
    return http_response{
        .content_type = "application/octet-stream",
        .body = std::string(only.body.view()),
        .task_status = only.status,
    };
}

http_response encode_cancellation(bool cancelled, run_state run)
{
    const std::string flag = cancelled ? "true" : "false";
    return http_response{
        .body = R"({"cancelled":)" + flag + R"(,"run":")" + std::string(to_string(run)) + R"("})",
    };
}

http_response encode_completion(const completion& result, answer_format format)
{
    switch (format) {
    case answer_format::single:
        return encode_single(result);
    case answer_format::job:
        return http_response{.body = encode_job_answer(result)};
    case answer_format::cancellation:
    case answer_format::tickets:
        break;
    }
    return encode_cancellation(false, run_state::ran);
}

} // namespace

caller_request decode_caller_request(const http_request& incoming, time_point now)
{
    if (incoming.method == "POST") {
        return decode_post(incoming, now);
    }
    if (incoming.method == "DELETE") {
        return decode_delete(incoming);
    }
    if (incoming.method == "GET" || incoming.method == "HEAD") {
        return decode_get(incoming);
    }
    throw_not_found();
}

http_response encode_answer(const answer& result, answer_format format, time_point now)
{
    if (const auto* reason = std::get_if<failure>(&result)) {
        if (format == answer_format::cancellation && reason->id == error_id::cancelled) {
            return encode_cancellation(true, reason->run);
        }
        return problem_response(*reason, now);
    }
    return encode_completion(std::get<completion>(result), format);
}

} // namespace papayafall
