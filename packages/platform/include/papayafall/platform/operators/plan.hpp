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

/// Observed state of the running system, against which a plan is checked.
struct plan_observations {
    /// Slots of all listed targets; empty if the list could not be read.
    std::optional<std::uint64_t> capacity_slots;
    /// Run time within which most tasks of a service complete.
    std::map<service_name, std::chrono::milliseconds> run_times;
    /// Zones of the listed entry hosts.
    std::set<zone_name> zones;

    auto operator<=>(const plan_observations&) const = default;
};

/// Change of a service's maximum cost per second, in millionths of the operators' currency.
struct cost_effect {
    service_name service;
    std::optional<std::uint64_t> before; ///< empty if no limit applies
    std::optional<std::uint64_t> after;

    auto operator<=>(const cost_effect&) const = default;
};

/// Effects of a plan on quotas, capacity and cost.
struct plan_effects {
    std::uint64_t quota_slots_before = 0; ///< sum over all teams
    std::uint64_t quota_slots_after = 0;
    std::optional<std::uint64_t> capacity_slots;
    std::vector<cost_effect> costs; ///< services whose maximum cost changes

    auto operator<=>(const plan_effects&) const = default;
};

enum class plan_warning_kind : std::uint8_t {
    quota_over_capacity,       ///< the sum of the quotas exceeds the available slots
    time_limit_below_run_time, ///< most requests would miss their deadline
    cost_limit_below_run_cost, ///< most requests would exceed their cost limit
    zone_without_seats,        ///< caller-supplied keys cannot be assigned to a seat in the zone
};

/// Returns the name of the enumerator.
std::string_view to_string(plan_warning_kind kind) noexcept;

/// Warning about a plan. Warnings don't prevent its confirmation.
struct plan_warning {
    plan_warning_kind kind = plan_warning_kind::quota_over_capacity;
    std::string path;           ///< JSON pointer into the configuration
    std::uint64_t declared = 0; ///< slots, milliseconds or millionths, depending on `kind`
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

/// Effect of an intent. Nothing changes until the plan is confirmed.
using plan = value<plan_fields>;

} // namespace papayafall
