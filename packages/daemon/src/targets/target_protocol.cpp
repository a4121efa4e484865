#include "papayafall/daemon/targets/target_protocol.hpp"

#include <algorithm>
#include <string>

namespace papayafall {

namespace {

constexpr std::uint16_t http_status_ok = 200;

std::string remaining_ms(time_point deadline, time_point now)
{
    const duration remaining = std::max(deadline - now, duration::zero());
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
}

failure failed_after_run(error_id id, std::string detail)
{
    return failure{.id = id, .run = run_state::ran, .detail = std::move(detail)};
}

exchange_outcome decode_response(const outbound_response& response)
{
    if (response->status == http_status_ok) {
        return task_answer{.status = response->status, .body = response->body};
    }
    if (find_header(response, run_state_header) == run_state_not_run) {
        return target_refused{.leaving = find_header(response, leaving_header) == leaving_true};
    }
    return failed_after_run(error_id::task_failed, "the target responded with HTTP status " +
                                                       std::to_string(response->status));
}

exchange_outcome decode_failure(outbound_failure reason)
{
    switch (reason) {
    case outbound_failure::not_sent:
        return not_sent{};
    case outbound_failure::connection_lost:
        return connection_lost{};
    case outbound_failure::no_answer:
        return no_answer{};
    case outbound_failure::answer_too_large:
        return failed_after_run(error_id::message_too_large,
                                "the target's response exceeds the size limit");
    case outbound_failure::answer_malformed:
        break;
    }
    return failed_after_run(error_id::malformed_message,
                            "the target's response is malformed or does not state its length");
}

} // namespace

outbound_request encode_exchange(const start_exchange& requested, time_point now)
{
    outbound_request_fields fields{.server = requested.address,
                                   .path = "/v1/run/" + requested.work->service.text(),
                                   .body = requested.work->body,
                                   .deadline = requested.deadline,
                                   .new_connection = !requested.work->idempotent};
    fields.headers.push_back(
        {.name = exchange_header, .value = std::to_string(requested.exchange.value())});
    if (requested.deadline != no_deadline) {
        fields.headers.push_back(
            {.name = deadline_header, .value = remaining_ms(requested.deadline, now)});
    }
    return {std::move(fields)};
}

exchange_outcome decode_exchange(const outbound_outcome& outcome)
{
    const auto* response = std::get_if<outbound_response>(&outcome);
    return response != nullptr ? decode_response(*response)
                               : decode_failure(std::get<outbound_failure>(outcome));
}

} // namespace papayafall
