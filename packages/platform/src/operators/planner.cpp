#include "papayafall/platform/operators/planner.hpp"

#include "papayafall/platform/operators/operator_errors.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"

#include <xxhash.h>

#include <array>
#include <limits>

namespace papayafall {

namespace {

constexpr std::uint64_t milliseconds_per_second = 1000;

/// Returns the product, or the largest value of the type if the product overflows.
std::uint64_t saturating_multiply(std::uint64_t lhs, std::uint64_t rhs)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    return rhs != 0 && lhs > max / rhs ? max : lhs * rhs;
}

std::uint64_t sum_of_quotas(const configuration& content)
{
    std::uint64_t sum = 0;
    for (const auto& [name, it] : content->teams) {
        sum += it.slot_quota;
    }
    return sum;
}

std::optional<std::uint64_t> max_cost_per_second(const configuration& content,
                                                 const service_name& name)
{
    const auto it = content->services.find(name);
    if (it == content->services.end()) {
        return 0;
    }
    if (!it->second.concurrency_limit) {
        return std::nullopt;
    }
    return saturating_multiply(*it->second.concurrency_limit,
                               it->second.price_per_slot_second_millionths);
}

std::vector<cost_effect> compare_costs(const configuration& before, const configuration& after)
{
    std::set<service_name> names;
    for (const auto& [name, it] : before->services) {
        names.insert(name);
    }
    for (const auto& [name, it] : after->services) {
        names.insert(name);
    }
    std::vector<cost_effect> out;
    for (const service_name& name : names) {
        const cost_effect it{name, max_cost_per_second(before, name),
                             max_cost_per_second(after, name)};
        if (it.before != it.after) {
            out.push_back(it);
        }
    }
    return out;
}

void check_quotas(const plan_effects& effects, std::vector<plan_warning>& out)
{
    if (effects.capacity_slots && effects.quota_slots_after > *effects.capacity_slots) {
        out.push_back({plan_warning_kind::quota_over_capacity, "/teams", effects.quota_slots_after,
                       *effects.capacity_slots});
    }
}

void check_service(const service_name& name, const service_configuration& service,
                   std::chrono::milliseconds run_time, std::vector<plan_warning>& out)
{
    const std::string path = "/services/" + name.text();
    const auto run_time_ms = static_cast<std::uint64_t>(run_time.count());
    if (service.time_limit < run_time) {
        out.push_back({plan_warning_kind::time_limit_below_run_time, path + "/time_limit_ms",
                       static_cast<std::uint64_t>(service.time_limit.count()), run_time_ms});
    }
    const std::uint64_t cost =
        saturating_multiply(service.price_per_slot_second_millionths, run_time_ms) /
        milliseconds_per_second;
    if (service.max_cost_per_request_millionths &&
        *service.max_cost_per_request_millionths < cost) {
        out.push_back({plan_warning_kind::cost_limit_below_run_cost,
                       path + "/cost_per_request_millionths",
                       *service.max_cost_per_request_millionths, cost});
    }
}

std::vector<plan_warning> find_warnings(const configuration& after, const plan_effects& effects,
                                        const plan_observations& observations)
{
    std::vector<plan_warning> out;
    check_quotas(effects, out);
    for (const auto& [name, service] : after->services) {
        const auto it = observations.run_times.find(name);
        if (it != observations.run_times.end()) {
            check_service(name, service, it->second, out);
        }
    }
    for (const zone_name& zone : observations.zones) {
        if (!after->zones.contains(zone)) {
            out.push_back({plan_warning_kind::zone_without_seats, "/zones/" + zone.text(), 0, 1});
        }
    }
    return out;
}

} // namespace

std::string_view to_string(plan_warning_kind kind) noexcept
{
    switch (kind) {
    case plan_warning_kind::quota_over_capacity:
        return "quota_over_capacity";
    case plan_warning_kind::time_limit_below_run_time:
        return "time_limit_below_run_time";
    case plan_warning_kind::cost_limit_below_run_cost:
        return "cost_limit_below_run_cost";
    case plan_warning_kind::zone_without_seats:
        break;
    }
    return "zone_without_seats";
}

plan_id make_plan_id(revision_id base, const intent_document& intent)
{
    const std::string content = std::to_string(base.value()) + "\n" + intent.text();
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(content.data(), content.size()));

    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char it : canonical.digest) {
        hex += digits[it >> 4U];
        hex += digits[it & 15U];
    }
    return plan_id(hex);
}

plan make_plan(const configuration& base, const intent_document& intent,
               const plan_observations& observations)
{
    const configuration after = apply_intent(base, intent.json(), base->revision.next());
    if (!base->zones.empty() && after->zones != base->zones) {
        throw seat_layout_error();
    }
    const plan_effects effects{
        .quota_slots_before = sum_of_quotas(base),
        .quota_slots_after = sum_of_quotas(after),
        .capacity_slots = observations.capacity_slots,
        .costs = compare_costs(base, after),
    };
    return {plan_fields{
        .id = make_plan_id(base->revision, intent),
        .base = base->revision,
        .intent = intent,
        .result = after,
        .differences = compare_configurations(base, after),
        .effects = effects,
        .warnings = find_warnings(after, effects, observations),
    }};
}

} // namespace papayafall
