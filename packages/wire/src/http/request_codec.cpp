#include "papayafall/wire/http/request_codec.hpp"

#include "papayafall/core/errors/exception.hpp"
#include "papayafall/wire/http/fingerprint.hpp"
#include "papayafall/wire/http/json_reader.hpp"
#include "papayafall/wire/http/request_key_codec.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace papayafall {

namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 63;
constexpr std::uint64_t max_duration_ms = 24ULL * 60 * 60 * 1000; ///< one day

[[noreturn]] void reject(const std::string& reason, error_id id = error_id::malformed_request)
{
    throw request_error(id, reason);
}

bool is_name_character(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

void check_name(std::string_view text, const char* what)
{
    if (text.empty() || text.size() > max_name_length ||
        !std::all_of(text.begin(), text.end(), is_name_character)) {
        reject(std::string(what) + " must have 1 to 63 characters of a-z, 0-9 and -");
    }
}

service_name parse_service(std::string_view text)
{
    check_name(text, "service name");
    return service_name(std::string(text));
}

team_name parse_team(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    check_name(text, "Papayafall-Team");
    return team_name(std::string(text));
}

std::optional<urgency_level> parse_urgency(std::string_view text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    if (text == "urgent") {
        return urgency_level::urgent;
    }
    if (text == "normal") {
        return urgency_level::normal;
    }
    if (text == "background") {
        return urgency_level::background;
    }
    reject("Papayafall-Urgency must be urgent, normal or background");
}

time_point parse_deadline(std::string_view text, time_point now)
{
    if (text.empty()) {
        return no_deadline;
    }
    std::uint64_t n = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || stop != end || n == 0 || n > max_duration_ms) {
        reject("Papayafall-Deadline-Ms must be an integer from 1 to 86400000");
    }
    return now + std::chrono::milliseconds(n);
}

std::optional<request_key> parse_key(std::string_view text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    return parse_request_key(text);
}

request make_request(std::string_view service, const request_headers& headers, request_kind kind,
                     std::vector<task> tasks, time_point now)
{
    request_fields fields{
        .service = parse_service(service),
        .team = parse_team(headers.team),
        .key = parse_key(headers.idempotency_key),
        .deadline = parse_deadline(headers.deadline_ms, now),
        .urgency = parse_urgency(headers.urgency),
    };
    fields.fingerprint = request_fingerprint(fields.service, fields.team, kind, tasks);
    fields.tasks = std::move(tasks);
    return {std::move(fields)};
}

/// Reads a JSON integer from 1 to `limit`.
std::uint64_t parse_count(const json& value, std::uint64_t limit, const char* what)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0 ||
        value.get<std::uint64_t>() > limit) {
        reject(std::string(what) + " must be an integer from 1 to " + std::to_string(limit));
    }
    return value.get<std::uint64_t>();
}

bytes parse_task_body(const json& value)
{
    return bytes(value.is_string() ? value.get<std::string>() : value.dump());
}

task parse_task(const json& value)
{
    if (!value.is_object()) {
        reject("task must be a JSON object");
    }
    const auto body = value.find("body");
    if (body == value.end()) {
        reject("task has no body");
    }
    std::optional<duration> declared_run_time;
    for (const auto& [key, member] : value.items()) {
        if (key == "body") {
            continue;
        }
        if (key != "declared_run_time_ms") {
            reject("task has an unknown member");
        }
        declared_run_time =
            std::chrono::milliseconds(parse_count(member, max_duration_ms, "declared_run_time_ms"));
    }
    return task{.body = parse_task_body(*body), .declared_run_time = declared_run_time};
}

/// Returns the member `name` of the JSON object `document`, which must have no other member.
const json& only_member(const json& document, const char* name)
{
    if (!document.is_object() || document.size() != 1 || !document.contains(name)) {
        reject(std::string("body must be a JSON object whose only member is ") + name);
    }
    return document.at(name);
}

} // namespace

request decode_single_request(std::string_view service, const request_headers& headers,
                              std::string body, time_point now)
{
    return make_request(service, headers, request_kind::single,
                        {task{.body = bytes(std::move(body))}}, now);
}

request decode_job(std::string_view service, const request_headers& headers, std::string_view body,
                   time_point now)
{
    const json document = parse_caller_json(body);
    const json& list = only_member(document, "tasks");
    if (!list.is_array() || list.empty()) {
        reject("tasks must be a non-empty array");
    }
    if (list.size() > max_tasks_per_job) {
        reject("job must have at most " + std::to_string(max_tasks_per_job) + " tasks",
               error_id::too_many_tasks);
    }
    std::vector<task> tasks;
    tasks.reserve(list.size());
    for (const json& it : list) {
        tasks.push_back(parse_task(it));
    }
    return make_request(service, headers, request_kind::job, std::move(tasks), now);
}

std::uint32_t decode_ticket_count(std::string_view body)
{
    if (body.empty()) {
        return 1;
    }
    const json document = parse_caller_json(body);
    return static_cast<std::uint32_t>(
        parse_count(only_member(document, "count"), max_tickets_per_request, "count"));
}

} // namespace papayafall
