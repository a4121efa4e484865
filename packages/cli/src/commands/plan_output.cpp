#include "plan_output.hpp"

namespace papayafall::detail {

namespace {

nlohmann::json encode_optional(const std::optional<std::uint64_t>& it)
{
    return it ? nlohmann::json(*it) : nlohmann::json();
}

nlohmann::json encode_costs(const std::vector<cost_effect>& costs)
{
    nlohmann::json out = nlohmann::json::array();
    for (const cost_effect& it : costs) {
        out.push_back({{"service", it.service.text()},
                       {"before_millionths_per_s", encode_optional(it.before)},
                       {"after_millionths_per_s", encode_optional(it.after)}});
    }
    return out;
}

std::string format_bound(const std::optional<std::uint64_t>& bound)
{
    return bound ? std::to_string(*bound) : "unbounded";
}

} // namespace

nlohmann::json encode_plan(const plan& proposed)
{
    nlohmann::json out{
        {"plan", proposed->id.text()},
        {"base", proposed->base.value()},
        {"differences", nlohmann::json::array()},
        {"quota_slots_before", proposed->effects.quota_slots_before},
        {"quota_slots_after", proposed->effects.quota_slots_after},
        {"capacity_slots", encode_optional(proposed->effects.capacity_slots)},
        {"costs", encode_costs(proposed->effects.costs)},
        {"warnings", nlohmann::json::array()},
    };
    for (const configuration_difference& it : proposed->differences) {
        out["differences"].push_back(encode_difference(it));
    }
    for (const plan_warning& it : proposed->warnings) {
        out["warnings"].push_back({{"kind", to_string(it.kind)},
                                   {"path", it.path},
                                   {"declared", it.declared},
                                   {"observed", it.observed}});
    }
    return out;
}

void print_plan(std::ostream& out, const plan& proposed)
{
    const plan_effects& effects = proposed->effects;
    out << "plan " << proposed->id.text() << " on revision " << proposed->base.value() << "\n";
    print_differences(out, proposed->differences);
    out << "quota: " << effects.quota_slots_before << " -> " << effects.quota_slots_after
        << " slots, capacity: "
        << (effects.capacity_slots ? std::to_string(*effects.capacity_slots) : "unknown") << "\n";
    for (const cost_effect& it : effects.costs) {
        out << "highest cost of " << it.service.text() << ": " << format_bound(it.before) << " -> "
            << format_bound(it.after) << " millionths per second\n";
    }
    for (const plan_warning& it : proposed->warnings) {
        out << "warning: " << to_string(it.kind) << " at " << it.path << ": declared "
            << it.declared << ", observed " << it.observed << "\n";
    }
    out << "the change is not in force; confirm it with: papayafall confirm " << proposed->id.text()
        << "\n";
}

void print_differences(std::ostream& out, const std::vector<configuration_difference>& differences)
{
    for (const configuration_difference& it : differences) {
        out << "  " << to_string(it.kind) << " " << it.path << ": " << it.before.value_or("-")
            << " -> " << it.after.value_or("-") << "\n";
    }
}

} // namespace papayafall::detail
