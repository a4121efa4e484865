#include "papayafall/wire/configuration/configuration_json.hpp"

#include "papayafall/wire/configuration/json_reader.hpp"

#include <algorithm>
#include <array>

namespace papayafall {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::uint64_t max_time_limit_ms = 3'600'000;
constexpr std::uint64_t max_budget_window_s = std::uint64_t{31} * 86'400;
constexpr std::uint32_t max_seats_per_zone = 4096;

constexpr std::array<const char*, 3> urgency_names{"urgent", "normal", "background"};

bool is_name_character(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
           it == '.' || it == '_' || it == '-';
}

void check_key(const json_reader& parent, const std::string& name)
{
    const bool valid = !name.empty() && name.size() <= max_name_length &&
                       std::all_of(name.begin(), name.end(), is_name_character);
    if (!valid) {
        parent.fail(name, "name must have 1 to 64 letters, digits, '.', '_' or '-'");
    }
}

urgency_level read_urgency(json_reader& in)
{
    const auto name = in.optional_text("urgency");
    if (!name) {
        return urgency_level::normal;
    }
    const auto* const it = std::find(urgency_names.begin(), urgency_names.end(), *name);
    if (it == urgency_names.end()) {
        in.fail("urgency", R"(must be "urgent", "normal" or "background")");
    }
    return static_cast<urgency_level>(it - urgency_names.begin());
}

service_configuration read_service(json_reader in)
{
    service_configuration out;
    out.urgency = read_urgency(in);
    out.idempotent = in.boolean("idempotent", out.idempotent);
    if (const auto n = in.optional_number("time_limit_ms", 1, max_time_limit_ms)) {
        out.time_limit = std::chrono::milliseconds(*n);
    }
    out.rate_limit = in.optional_number_as<std::uint32_t>("rate_limit_per_s", 1);
    out.concurrency_limit = in.optional_number_as<std::uint32_t>("concurrency_limit", 1);
    out.queue_limit = in.number_or("queue_limit", out.queue_limit);
    out.price_per_slot_second_millionths =
        in.number_or("price_per_slot_second_millionths", out.price_per_slot_second_millionths);
    out.max_cost_per_request_millionths =
        in.optional_number_as<std::uint64_t>("cost_per_request_millionths");
    out.budget_per_window_millionths =
        in.optional_number_as<std::uint64_t>("budget_per_window_millionths");
    if (const auto n = in.optional_number("budget_window_s", 1, max_budget_window_s)) {
        out.budget_window = std::chrono::seconds(*n);
    }
    in.reject_unknown_keys();
    return out;
}

team_configuration read_team(json_reader in)
{
    team_configuration out;
    out.slot_quota = in.number_or("slot_quota", out.slot_quota);
    out.rate_limit = in.optional_number_as<std::uint32_t>("rate_limit_per_s", 1);
    in.reject_unknown_keys();
    return out;
}

zone_configuration read_zone(json_reader in)
{
    zone_configuration out;
    if (const auto n = in.optional_number("seats", 1, max_seats_per_zone)) {
        out.seat_count = static_cast<std::uint32_t>(*n);
    }
    in.reject_unknown_keys();
    return out;
}

/// Reads an object whose keys are names of type `Name`; a missing object is read as an empty map.
template <typename Name, typename Entry>
std::map<Name, Entry> read_map(json_reader& in, const std::string& key, Entry (*read)(json_reader))
{
    std::map<Name, Entry> out;
    const nlohmann::json* node = in.child(key);
    if (node == nullptr) {
        return out;
    }
    json_reader members(*node, in.child_path(key));
    for (const auto& it : members.entries().items()) {
        check_key(members, it.key());
        out.emplace(Name(it.key()), read(json_reader(it.value(), members.child_path(it.key()))));
    }
    return out;
}

template <typename Number>
void put_optional(nlohmann::json& out, const char* key, const std::optional<Number>& it)
{
    if (it) {
        out[key] = *it;
    }
}

nlohmann::json write_service(const service_configuration& it)
{
    nlohmann::json out{
        {"urgency", urgency_names.at(static_cast<std::size_t>(it.urgency))},
        {"time_limit_ms", static_cast<std::uint64_t>(it.time_limit.count())},
        {"idempotent", it.idempotent},
        {"queue_limit", it.queue_limit},
        {"price_per_slot_second_millionths", it.price_per_slot_second_millionths},
        {"budget_window_s", static_cast<std::uint64_t>(it.budget_window.count())},
    };
    put_optional(out, "rate_limit_per_s", it.rate_limit);
    put_optional(out, "concurrency_limit", it.concurrency_limit);
    put_optional(out, "cost_per_request_millionths", it.max_cost_per_request_millionths);
    put_optional(out, "budget_per_window_millionths", it.budget_per_window_millionths);
    return out;
}

nlohmann::json write_team(const team_configuration& it)
{
    nlohmann::json out{{"slot_quota", it.slot_quota}};
    put_optional(out, "rate_limit_per_s", it.rate_limit);
    return out;
}

nlohmann::json write_zone(const zone_configuration& it)
{
    return {{"seats", it.seat_count}};
}

template <typename Name, typename Entry>
nlohmann::json write_map(const std::map<Name, Entry>& entries,
                         nlohmann::json (*write)(const Entry&))
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [name, entry] : entries) {
        out[name.text()] = write(entry);
    }
    return out;
}

} // namespace

nlohmann::json encode_configuration(const configuration& content)
{
    return {
        {"revision", content->revision.value()},
        {"services", write_map(content->services, write_service)},
        {"teams", write_map(content->teams, write_team)},
        {"zones", write_map(content->zones, write_zone)},
    };
}

configuration decode_configuration(const nlohmann::json& document)
{
    json_reader in(document, "");
    configuration_fields out;
    out.revision = revision_id(in.number_or<std::uint64_t>("revision", 0));
    out.services = read_map<service_name>(in, "services", read_service);
    out.teams = read_map<team_name>(in, "teams", read_team);
    out.zones = read_map<zone_name>(in, "zones", read_zone);
    in.reject_unknown_keys();
    return {std::move(out)};
}

configuration parse_configuration(std::string_view text)
{
    return decode_configuration(parse_json(text));
}

configuration apply_intent(const configuration& base, const nlohmann::json& intent,
                           revision_id revision)
{
    json_reader in(intent, "");
    in.child("services");
    in.child("teams");
    in.child("zones");
    in.reject_unknown_keys();

    nlohmann::json document = encode_configuration(base);
    document.merge_patch(intent);
    document["revision"] = revision.value();
    return decode_configuration(document);
}

} // namespace papayafall
