#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/core/values/value.hpp"
#include "papayafall/wire/configuration/change_record.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall {

/// What an operator's tool knows about the running system.
struct plan_observations {
    /// Slots of all listed targets; empty where the list could not be read.
    std::optional<std::uint64_t> capacity_slots;
    /// Run time that most tasks of a service need.
    std::map<service_name, std::chrono::milliseconds> run_times;
    /// Zones of the listed entry hosts.
    std::set<zone_name> zones;

    auto operator<=>(const plan_observations&) const = default;
};

/// Highest cost of a service in one second, in millionths of the operators' currency.
struct cost_effect {
    service_name service;
    std::optional<std::uint64_t> before; ///< empty where no limit bounds it
    std::optional<std::uint64_t> after;

    auto operator<=>(const cost_effect&) const = default;
};

/// What a plan does to quotas, capacity and cost.
struct plan_effects {
    std::uint64_t quota_slots_before = 0; ///< sum over all teams
    std::uint64_t quota_slots_after = 0;
    std::optional<std::uint64_t> capacity_slots;
    std::vector<cost_effect> costs; ///< of the services whose bound changes

    auto operator<=>(const plan_effects&) const = default;
};

enum class plan_warning_kind : std::uint8_t {
    quota_over_capacity,       ///< teams are promised more slots than there are
    time_limit_below_run_time, ///< most requests would miss their deadline
    cost_limit_below_run_cost, ///< most requests would pass what they may cost
    zone_without_seats,        ///< callers' own keys have no home in the zone
};

/// Name of `kind`, as in the enumeration.
std::string_view to_string(plan_warning_kind kind) noexcept;

/// A plan can be confirmed in spite of its warnings.
struct plan_warning {
    plan_warning_kind kind = plan_warning_kind::quota_over_capacity;
    std::string path;           ///< JSON pointer into the configuration
    std::uint64_t declared = 0; ///< slots, milliseconds or millionths, as the kind says
    std::uint64_t observed = 0;

    auto operator<=>(const plan_warning&) const = default;
};

struct plan_fields {
    plan_id id;
    revision_id base;
    intent_document intent;
    configuration result; ///< at the revision after `base`
    std::vector<configuration_difference> differences;
    plan_effects effects;
    std::vector<plan_warning> warnings;

    auto operator<=>(const plan_fields&) const = default;
};

/// What an intent would change. Nothing changes until it is confirmed.
using plan = value<plan_fields>;

} // namespace papayafall
