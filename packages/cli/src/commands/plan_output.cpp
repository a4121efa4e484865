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

std::string describe(const std::optional<std::uint64_t>& bound)
{
    return bound ? std::to_string(*bound) : "unbounded";
}

} // namespace

nlohmann::json encode_plan(const plan& made)
{
    nlohmann::json out{
        {"plan", made->id.text()},
        {"base", made->base.value()},
        {"differences", nlohmann::json::array()},
        {"quota_slots_before", made->effects.quota_slots_before},
        {"quota_slots_after", made->effects.quota_slots_after},
        {"capacity_slots", encode_optional(made->effects.capacity_slots)},
        {"costs", encode_costs(made->effects.costs)},
        {"warnings", nlohmann::json::array()},
    };
    for (const configuration_difference& it : made->differences) {
        out["differences"].push_back(encode_difference(it));
    }
    for (const plan_warning& it : made->warnings) {
        out["warnings"].push_back({{"kind", to_string(it.kind)},
                                   {"path", it.path},
                                   {"declared", it.declared},
                                   {"observed", it.observed}});
    }
    return out;
}

void print_plan(std::ostream& out, const plan& made)
{
    const plan_effects& effects = made->effects;
    out << "plan " << made->id.text() << " on revision " << made->base.value() << "\n";
    print_differences(out, made->differences);
    out << "quota: " << effects.quota_slots_before << " -> " << effects.quota_slots_after
        << " slots, capacity: "
        << (effects.capacity_slots ? std::to_string(*effects.capacity_slots) : "unknown") << "\n";
    for (const cost_effect& it : effects.costs) {
        out << "highest cost of " << it.service.text() << ": " << describe(it.before) << " -> "
            << describe(it.after) << " millionths a second\n";
    }
    for (const plan_warning& it : made->warnings) {
        out << "warning: " << to_string(it.kind) << " at " << it.path << ": declared "
            << it.declared << ", observed " << it.observed << "\n";
    }
    out << "nothing has changed yet; confirm with: papayafall confirm " << made->id.text() << "\n";
}

void print_differences(std::ostream& out, const std::vector<configuration_difference>& list)
{
    for (const configuration_difference& it : list) {
        out << "  " << to_string(it.kind) << " " << it.path << ": " << it.before.value_or("-")
            << " -> " << it.after.value_or("-") << "\n";
    }
}

} // namespace papayafall::detail
