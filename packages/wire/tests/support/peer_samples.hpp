#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/wire/peer/peer_message.hpp"

#include <vector>

namespace papayafall {

/// Time at which the samples are sent.
inline constexpr time_point sent_at{duration(5'000'000)};

inline heartbeat sample_heartbeat()
{
    return heartbeat({.host = host_name("entry-1"),
                      .zone = zone_name("north"),
                      .incarnation = incarnation_id(1'700'000'000'001),
                      .sequence = 42,
                      .link = {"10.0.0.1", 7001},
                      .datagrams = {"10.0.0.1", 7002},
                      .revision = revision_id(9),
                      .free_slots = 31,
                      .queued_tasks = 5,
                      .leaving = true,
                      .seats = {{zone_name("north"), 0}, {zone_name("north"), 3}},
                      .leaving_targets = {target_name("target-7")}});
}

inline request sample_request()
{
    return request({.service = service_name("quote"),
                    .team = team_name("desk"),
                    .key = ticket{zone_name("north"), host_name("entry-1"), incarnation_id(3), 8},
                    .fingerprint = 0xfeed,
                    .tasks = {{bytes("first"), duration(50'000)}, {bytes(""), std::nullopt}},
                    .deadline = sent_at + duration(800'000),
                    .urgency = urgency_level::background});
}

inline work_item sample_work()
{
    return work_item({.service = service_name("quote"),
                      .team = team_name("desk"),
                      .urgency = urgency_level::urgent,
                      .idempotent = true,
                      .body = bytes("body"),
                      .declared_run_time = duration(1'000),
                      .deadline = no_deadline,
                      .retryable = true});
}

inline configuration sample_configuration()
{
    configuration_fields fields;
    fields.revision = revision_id(9);
    fields.services[service_name("quote")] = {.rate_limit = 100, .budget_per_window_millionths = 5};
    fields.services[service_name("slot")] = {.idempotent = true};
    fields.teams[team_name("desk")] = {.slot_quota = 12, .rate_limit = 30};
    fields.zones[zone_name("north")] = {.seat_count = 4};
    return fields;
}

/// Returns at least one message of each kind.
inline std::vector<peer_message> sample_messages()
{
    const failure refused{error_id::overloaded, run_state::not_run, "full",
                          sent_at + duration(20'000)};
    const wall_time made_at{std::chrono::milliseconds(1'700'000'000'123)};
    return {
        hello{{host_name("entry-1"), incarnation_id(3)}, zone_name("north"), {1, 2, 3}},
        link_heartbeat{},
        forwarded_request{correlation_id(4), sample_request()},
        forwarded_request{correlation_id(4), sample_request().with([](request_fields& it) {
                              it.urgency = std::nullopt;
                          })},
        forwarded_cancel{correlation_id(5), caller_key{"0190-key", made_at}},
        forwarded_answer{correlation_id(4), completion({{{200, bytes("ok")}, {404, bytes()}}})},
        forwarded_answer{correlation_id(6), refused},
        delegated_work{exchange_id(7), sample_work()},
        delegation_cancel{exchange_id(7)},
        delegation_answer{exchange_id(7), task_answer{200, bytes("ok")}},
        delegation_answer{exchange_id(8), refused},
        configuration_request{},
        configuration_reply{sample_configuration()},
        configuration_reply{sample_configuration(),
                            change_origin{plan_id("5f0c"), operator_name("ana")}},
    };
}

} // namespace papayafall
