#include "papayafall/wire/configuration/change_record.hpp"

#include "papayafall/wire/configuration/configuration_json.hpp"
#include "papayafall/wire/configuration/json_reader.hpp"

#include <map>

namespace papayafall {

namespace {

/// Returns the scalar values by JSON pointer, without the revision. Leaves out empty objects, which
/// `flatten` represents as null.
std::map<std::string, nlohmann::json> scalar_values(const configuration& content)
{
    nlohmann::json document = encode_configuration(content);
    document.erase("revision");
    const nlohmann::json flat = document.flatten();
    std::map<std::string, nlohmann::json> out;
    for (const auto& it : flat.items()) {
        if (it.value().is_null()) {
            continue;
        }
        out.emplace(it.key(), it.value());
    }
    return out;
}

difference_kind read_difference_kind(json_reader& in)
{
    const std::string name = in.text("kind");
    for (const auto it :
         {difference_kind::added, difference_kind::changed, difference_kind::removed}) {
        if (to_string(it) == name) {
            return it;
        }
    }
    in.fail("kind", R"(must be "added", "changed" or "removed")");
}

std::optional<std::string> read_json_text(json_reader& in, const std::string& key)
{
    const nlohmann::json* it = in.child(key);
    return it == nullptr ? std::nullopt : std::optional<std::string>(it->dump());
}

configuration_difference read_difference(json_reader in)
{
    configuration_difference out;
    out.kind = read_difference_kind(in);
    out.path = in.text("path");
    out.before = read_json_text(in, "before");
    out.after = read_json_text(in, "after");
    in.reject_unknown_keys();
    return out;
}

std::vector<configuration_difference> read_differences(json_reader& in)
{
    std::vector<configuration_difference> out;
    const nlohmann::json* list = in.child("differences");
    if (list == nullptr || !list->is_array()) {
        in.fail("differences", "must be an array");
    }
    for (const nlohmann::json& it : *list) {
        const std::string path = in.child_path("differences") + "/" + std::to_string(out.size());
        out.push_back(read_difference(json_reader(it, path)));
    }
    return out;
}

wall_time read_wall_time(json_reader& in, const std::string& key)
{
    // Range of the 48-bit time of a UUIDv7.
    constexpr std::uint64_t max_unix_time_ms = std::uint64_t{1} << 48;
    return wall_time(std::chrono::milliseconds(in.number(key, 0, max_unix_time_ms)));
}

intent_document read_intent(json_reader& in)
{
    const nlohmann::json* it = in.child("intent");
    if (it == nullptr) {
        in.fail("intent", "required value is missing");
    }
    return intent_document::parse(it->dump());
}

std::uint64_t milliseconds_of(wall_time it)
{
    return static_cast<std::uint64_t>(it.time_since_epoch().count());
}

} // namespace

intent_document intent_document::parse(std::string_view text)
{
    const nlohmann::json document = parse_json(text);
    const json_reader object(document, "");
    return intent_document(document.dump());
}

std::vector<configuration_difference> compare_configurations(const configuration& before,
                                                             const configuration& after)
{
    const auto old_values = scalar_values(before);
    const auto new_values = scalar_values(after);
    std::map<std::string, configuration_difference> out;
    for (const auto& [path, it] : old_values) {
        const auto found = new_values.find(path);
        if (found == new_values.end()) {
            out[path] = {difference_kind::removed, path, it.dump(), std::nullopt};
            continue;
        }
        if (found->second != it) {
            out[path] = {difference_kind::changed, path, it.dump(), found->second.dump()};
        }
    }
    for (const auto& [path, it] : new_values) {
        if (!old_values.contains(path)) {
            out[path] = {difference_kind::added, path, std::nullopt, it.dump()};
        }
    }
    std::vector<configuration_difference> list;
    list.reserve(out.size());
    for (auto& it : out) {
        list.push_back(std::move(it.second));
    }
    return list;
}

change_origin origin_of(const change_record& record)
{
    return {.plan = record->plan, .author = record->author};
}

std::string_view to_string(difference_kind kind) noexcept
{
    switch (kind) {
    case difference_kind::added:
        return "added";
    case difference_kind::removed:
        return "removed";
    case difference_kind::changed:
        break;
    }
    return "changed";
}

nlohmann::json encode_difference(const configuration_difference& it)
{
    nlohmann::json out{{"kind", to_string(it.kind)}, {"path", it.path}};
    if (it.before) {
        out["before"] = nlohmann::json::parse(*it.before);
    }
    if (it.after) {
        out["after"] = nlohmann::json::parse(*it.after);
    }
    return out;
}

std::string encode_change_record(const change_record& record)
{
    nlohmann::json differences = nlohmann::json::array();
    for (const auto& it : record->differences) {
        differences.push_back(encode_difference(it));
    }
    const nlohmann::json out{
        {"revision", record->revision.value()},
        {"base", record->base.value()},
        {"plan", record->plan.text()},
        {"operator", record->author.text()},
        {"confirmed_at_ms", milliseconds_of(record->confirmed_at)},
        {"intent", record->intent.json()},
        {"differences", differences},
    };
    return out.dump();
}

change_record decode_change_record(std::string_view text)
{
    const nlohmann::json document = parse_json(text);
    json_reader in(document, "");
    change_record_fields out;
    out.revision = revision_id(in.number("revision", 1, UINT64_MAX));
    out.base = revision_id(in.number("base", 0, out.revision.value() - 1));
    out.plan = plan_id(in.text("plan"));
    out.author = operator_name(in.text("operator"));
    out.confirmed_at = read_wall_time(in, "confirmed_at_ms");
    out.intent = read_intent(in);
    out.differences = read_differences(in);
    in.reject_unknown_keys();
    return {std::move(out)};
}

std::string encode_pending_plan(const pending_plan& plan)
{
    const nlohmann::json out{
        {"plan", plan->plan.text()},       {"base", plan->base.value()},
        {"operator", plan->author.text()}, {"made_at_ms", milliseconds_of(plan->made_at)},
        {"intent", plan->intent.json()},
    };
    return out.dump();
}

pending_plan decode_pending_plan(std::string_view text)
{
    const nlohmann::json document = parse_json(text);
    json_reader in(document, "");
    pending_plan_fields out;
    out.plan = plan_id(in.text("plan"));
    out.base = revision_id(in.number("base", 0, UINT64_MAX));
    out.author = operator_name(in.text("operator"));
    out.made_at = read_wall_time(in, "made_at_ms");
    out.intent = read_intent(in);
    in.reject_unknown_keys();
    return {std::move(out)};
}

} // namespace papayafall
