#include "papayafall/daemon/control/action_router.hpp"

#include "papayafall/daemon/logging/log.hpp"

#include <string>
#include <utility>

namespace papayafall {

namespace {

enum class destination { callers, targets, peers, platform, process, targets_and_peers };

/// Metric label and destination of a kind of action.
struct route_entry {
    const char* name;
    destination to;
};

/// Routes, in the order of the alternatives of `action`.
constexpr std::array<route_entry, std::variant_size_v<action>> routes{{
    {"answer_call", destination::callers},
    {"issue_tickets", destination::callers},
    {"forward_request", destination::peers},
    {"forward_cancel", destination::peers},
    {"answer_forward", destination::peers},
    {"start_exchange", destination::targets},
    {"abandon_exchange", destination::targets_and_peers},
    {"delegate_work", destination::peers},
    {"answer_delegation", destination::peers},
    {"send_heartbeat", destination::peers},
    {"claim_seat", destination::platform},
    {"release_seat", destination::platform},
    {"watch_configuration", destination::platform},
    {"fetch_configuration", destination::peers},
    {"configuration_applied", destination::process},
    {"publish_status", destination::callers},
    {"stop_process", destination::process},
}};

/// Logs that a configuration revision took effect on this host, with the plan and operator it
/// originates from if known.
void write_audit_log(const configuration_applied& it)
{
    const change_origin origin = it.change.origin.value_or(change_origin{});
    write_log(log_level::info, "configuration revision in force",
              {{"revision", it.content->revision.value()},
               {"base", it.change.previous_revision.value()},
               {"plan", origin.plan.text()},
               {"operator", origin.author.text()}});
}

static_assert(std::is_same_v<std::variant_alternative_t<16, action>, stop_process>);
static_assert(std::is_same_v<std::variant_alternative_t<5, action>, start_exchange>);

} // namespace

action_router::action_router(action_sinks sinks, prometheus::Registry& registry)
    : sinks_(std::move(sinks))
{
    auto& family = prometheus::BuildCounter()
                       .Name("papayafall_actions_total")
                       .Help("Actions that the core asked for, by kind")
                       .Register(registry);
    failed_delegations_ =
        &prometheus::BuildCounter()
             .Name("papayafall_delegations_failed_total")
             .Help("Tasks of peers that were returned to them without the answer of a target")
             .Register(registry)
             .Add({});
    for (std::size_t n = 0; n < routes.size(); ++n) {
        counters_by_kind_.at(n) = &family.Add({{"kind", routes.at(n).name}});
    }
}

void action_router::post(action requested)
{
    counters_by_kind_.at(requested.index())->Increment();
    count_failed_delegation(requested);
    route(std::move(requested));
}

void action_router::count_failed_delegation(const action& requested)
{
    const auto* it = std::get_if<answer_delegation>(&requested);
    if (it != nullptr && std::holds_alternative<failure>(it->result)) {
        failed_delegations_->Increment();
    }
}

void action_router::route(action requested)
{
    switch (routes.at(requested.index()).to) {
    case destination::callers:
        sinks_.callers.post(std::move(requested));
        return;
    case destination::targets:
        sinks_.targets.post(std::move(requested));
        return;
    case destination::peers:
        sinks_.peers.post(std::move(requested));
        return;
    case destination::platform:
        sinks_.platform.post(std::move(requested));
        return;
    case destination::targets_and_peers:
        sinks_.targets.post(requested);
        sinks_.peers.post(std::move(requested));
        return;
    case destination::process:
        break;
    }
    if (const auto* applied = std::get_if<configuration_applied>(&requested)) {
        write_audit_log(*applied);
        sinks_.peers.post(*applied);
    } else {
        sinks_.stop();
    }
}

} // namespace papayafall
