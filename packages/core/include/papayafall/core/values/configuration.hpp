#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace papayafall {

/// Limits and properties that operators declare for one service.
struct service_configuration {
    urgency_level urgency = default_urgency;
    /// Time within which a request has to be answered if the caller sets no limit.
    std::chrono::milliseconds time_limit{1000};
    /// Whether a task may safely run more than once.
    bool idempotent = false;
    /// Requests per second over all hosts; empty for no limit.
    std::optional<std::uint32_t> rate_limit;
    /// Accepted and unfinished tasks over all hosts; empty for no limit.
    std::optional<std::uint32_t> concurrency_limit;
    /// Waiting tasks over all hosts.
    std::uint32_t queue_limit = 10000;
    /// Price of one slot for one second, in millionths of the operators' currency.
    std::uint64_t price_per_slot_second_millionths = 0;
    /// Largest cost of one request; empty for no limit.
    std::optional<std::uint64_t> max_cost_per_request_millionths;
    /// Largest cost in one `budget_window`; empty for no limit.
    std::optional<std::uint64_t> budget_per_window_millionths;
    std::chrono::seconds budget_window{3600};

    auto operator<=>(const service_configuration&) const = default;
};

/// Quota of one team, as declared by operators.
struct team_configuration {
    /// Slots over all hosts to which the team is entitled while other teams wait.
    std::uint32_t slot_quota = 1;
    /// Tasks per second over all hosts; empty for no limit.
    std::optional<std::uint32_t> rate_limit;

    auto operator<=>(const team_configuration&) const = default;
};

/// Settings of one availability zone, as declared by operators.
struct zone_configuration {
    /// Number of seats, among which the callers' own keys are divided; see `seat_id`.
    std::uint32_t seat_count = 1;

    auto operator<=>(const zone_configuration&) const = default;
};

struct configuration_fields {
    revision_id revision; ///< 0: no revision was confirmed yet
    std::map<service_name, service_configuration> services;
    std::map<team_name, team_configuration> teams;
    std::map<zone_name, zone_configuration> zones;

    auto operator<=>(const configuration_fields&) const = default;
};

/// The operators' configuration at one revision.
using configuration = value<configuration_fields>;

} // namespace papayafall
