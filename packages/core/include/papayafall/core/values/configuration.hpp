#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/request.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace papayafall {

/// Limits and promises that operators declared for one service.
struct service_configuration {
    urgency_level urgency = default_urgency;
    /// Time a request may take when the caller names none.
    std::chrono::milliseconds time_limit{1000};
    /// Whether a task may run more than once.
    bool idempotent = false;
    /// Requests a second over all hosts; empty for no limit.
    std::optional<std::uint32_t> rate_limit;
    /// Tasks in progress over all hosts; empty for no limit.
    std::optional<std::uint32_t> concurrency_limit;
    /// Tasks waiting over all hosts.
    std::uint32_t queue_limit = 10000;
    /// Price of one slot for one second, in millionths of the operators' currency.
    std::uint64_t price_per_slot_second_millionths = 0;
    /// Most that one request may cost, in millionths; empty for no limit.
    std::optional<std::uint64_t> max_cost_per_request_millionths;
    /// Most that a budget window may cost, in millionths; empty for no limit.
    std::optional<std::uint64_t> budget_per_window_millionths;
    std::chrono::seconds budget_window{3600};

    auto operator<=>(const service_configuration&) const = default;
};

/// Quota of one team.
struct team_configuration {
    /// Slots that the team may hold over all hosts while others wait.
    std::uint32_t slot_quota = 1;
    /// Tasks a second that the team may start over all hosts; empty for no limit.
    std::optional<std::uint32_t> rate_limit;

    auto operator<=>(const team_configuration&) const = default;
};

/// What operators decided about one availability zone.
struct zone_configuration {
    /// Number of seats, each of which homes a share of the callers' own keys.
    std::uint32_t seat_count = 1;

    auto operator<=>(const zone_configuration&) const = default;
};

struct configuration_fields {
    revision_id revision; ///< 0: nothing confirmed yet
    std::map<service_name, service_configuration> services;
    std::map<team_name, team_configuration> teams;
    std::map<zone_name, zone_configuration> zones;

    auto operator<=>(const configuration_fields&) const = default;
};

/// The operators' configuration at one revision.
using configuration = value<configuration_fields>;

} // namespace papayafall
