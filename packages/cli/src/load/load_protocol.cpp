#include "papayafall/cli/load/load_protocol.hpp"

#include <nlohmann/json.hpp>

namespace papayafall {

namespace {

using nlohmann::json;

constexpr std::uint16_t first_error_status = 400;

const char* encode_urgency(urgency_level urgency) noexcept
{
    switch (urgency) {
    case urgency_level::urgent:
        return "urgent";
    case urgency_level::background:
        return "background";
    case urgency_level::normal:
        break;
    }
    return "normal";
}

/// Task body in the form that `stand-in-target` runs.
json encode_task_body(const planned_task& task)
{
    return {{"id", task.id}, {"run_ms", task.run_time.count()}};
}

std::string encode_body(const planned_request& planned)
{
    if (!planned->is_job) {
        return encode_task_body(planned->tasks.front()).dump();
    }
    json tasks = json::array();
    for (const planned_task& it : planned->tasks) {
        tasks.push_back({{"body", encode_task_body(it)},
                         {"declared_run_time_ms", it.declared_run_time.count()}});
    }
    return json{{"tasks", std::move(tasks)}}.dump();
}

std::string encode_path(const planned_request& planned)
{
    return "/v1/services/" + planned->service.text() + (planned->is_job ? "/jobs" : "/requests");
}

std::vector<outbound_header> encode_headers(const planned_request& planned, const load_plan& plan,
                                            const std::string& key)
{
    std::vector<outbound_header> headers{
        {.name = "Papayafall-Deadline-Ms", .value = std::to_string(planned->time_limit.count())},
        {.name = "Papayafall-Urgency", .value = encode_urgency(planned->urgency)}};
    if (!plan.team.empty()) {
        headers.push_back({.name = "Papayafall-Team", .value = plan.team.text()});
    }
    if (!key.empty()) {
        headers.push_back({.name = "Idempotency-Key", .value = key});
    }
    return headers;
}

/// Value of the string member `name` of `object`; empty if there is no such member.
std::string read_text_member(const json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || !object.at(name).is_string()) {
        return {};
    }
    return object.at(name).get<std::string>();
}

bool is_answer_to(const json& answer, const planned_task& task)
{
    return read_text_member(answer, "id") == task.id;
}

bool is_complete_job_answer(const json& answer, const planned_request& planned)
{
    const json list = answer.is_object() ? answer.value("answers", json::array()) : json::array();
    if (!list.is_array() || list.size() != planned->tasks.size()) {
        return false;
    }
    for (std::size_t n = 0; n < list.size(); ++n) {
        const json& it = list.at(n);
        if (!it.is_object() || !is_answer_to(it.value("body", json()), planned->tasks.at(n))) {
            return false;
        }
    }
    return true;
}

bool is_complete_answer(const outbound_response& response, const planned_request& planned)
{
    const json answer = json::parse(response->body.view(), nullptr, false);
    return planned->is_job ? is_complete_job_answer(answer, planned)
                           : is_answer_to(answer, planned->tasks.front());
}

load_outcome classify_problem(const planned_request& planned, const outbound_response& response,
                              duration response_time)
{
    const json problem = json::parse(response->body.view(), nullptr, false);
    const std::string run = read_text_member(problem, "run");
    if (read_text_member(problem, "type") == "urn:papayafall:error:cancelled") {
        return load_outcome::cancelled;
    }
    if (run == "ran") {
        return load_outcome::failed;
    }
    if (run != "not_run") {
        return load_outcome::unknown;
    }
    const bool early = response_time < early_refusal_share * planned->time_limit;
    return early ? load_outcome::refused_early : load_outcome::refused_late;
}

load_outcome classify_response(const planned_request& planned, load_send_kind kind,
                               const outbound_response& response, duration response_time)
{
    if (response->status >= first_error_status) {
        return classify_problem(planned, response, response_time);
    }
    const bool complete =
        kind == load_send_kind::cancellation || is_complete_answer(response, planned);
    if (!complete) {
        return load_outcome::wrong_answer;
    }
    return response_time <= planned->time_limit ? load_outcome::in_time : load_outcome::late;
}

} // namespace

outbound_request encode_load_request(const planned_request& planned, load_send_kind kind,
                                     const load_plan& plan, const endpoint& server,
                                     const std::string& key, time_point deadline)
{
    if (kind == load_send_kind::cancellation) {
        return {outbound_request_fields{.server = server,
                                        .method = outbound_method::remove,
                                        .path = "/v1/requests/" + key,
                                        .deadline = deadline}};
    }
    return {outbound_request_fields{.server = server,
                                    .path = encode_path(planned),
                                    .headers = encode_headers(planned, plan, key),
                                    .body = bytes(encode_body(planned)),
                                    .deadline = deadline}};
}

load_outcome classify_load_answer(const planned_request& planned, load_send_kind kind,
                                  const outbound_outcome& outcome, duration response_time)
{
    if (const auto* it = std::get_if<outbound_response>(&outcome)) {
        return classify_response(planned, kind, *it, response_time);
    }
    const bool sent = std::get<outbound_failure>(outcome) != outbound_failure::not_sent;
    return sent ? load_outcome::unknown : load_outcome::unreachable;
}

} // namespace papayafall
