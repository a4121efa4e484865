#include "papayafall/wire/configuration/host_list_json.hpp"

#include "papayafall/wire/configuration/json_reader.hpp"

namespace papayafall {

namespace {

constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_slots_per_target = 65535;

endpoint read_endpoint(json_reader in)
{
    endpoint out;
    out.address = in.text("address");
    out.port = static_cast<std::uint16_t>(in.number("port", 1, max_port));
    in.reject_unknown_keys();
    return out;
}

/// Reads an array and decodes each element with `read`; a missing array is read as an empty list.
template <typename Entry>
std::vector<Entry> read_list(json_reader& in, const std::string& key,
                             Entry (*read)(const nlohmann::json&, const std::string&))
{
    std::vector<Entry> out;
    const nlohmann::json* list = in.child(key);
    if (list == nullptr) {
        return out;
    }
    if (!list->is_array()) {
        in.fail(key, "must be an array");
    }
    for (const nlohmann::json& it : *list) {
        out.push_back(read(it, in.child_path(key) + "/" + std::to_string(out.size())));
    }
    return out;
}

} // namespace

nlohmann::json encode_endpoint(const endpoint& it)
{
    return {{"address", it.address}, {"port", it.port}};
}

nlohmann::json encode_peer_entry(const peer_entry& it)
{
    return {
        {"name", it.name.text()},
        {"zone", it.zone.text()},
        {"datagrams", encode_endpoint(it.datagrams)},
        {"leaving", it.leaving},
    };
}

nlohmann::json encode_target_entry(const target_entry& it)
{
    return {
        {"name", it.name.text()}, {"zone", it.zone.text()},
        {"slots", it.slots},      {"address", encode_endpoint(it.address)},
        {"leaving", it.leaving},
    };
}

nlohmann::json encode_host_list(const host_list_snapshot& hosts)
{
    nlohmann::json out{{"entry_hosts", nlohmann::json::array()},
                       {"targets", nlohmann::json::array()}};
    for (const peer_entry& it : hosts->peers) {
        out["entry_hosts"].push_back(encode_peer_entry(it));
    }
    for (const target_entry& it : hosts->targets) {
        out["targets"].push_back(encode_target_entry(it));
    }
    return out;
}

peer_entry decode_peer_entry(const nlohmann::json& node, const std::string& path)
{
    json_reader in(node, path);
    peer_entry out;
    out.name = host_name(in.text("name"));
    out.zone = zone_name(in.text("zone"));
    out.datagrams = read_endpoint(in.object("datagrams"));
    out.leaving = in.boolean("leaving", false);
    in.reject_unknown_keys();
    return out;
}

target_entry decode_target_entry(const nlohmann::json& node, const std::string& path)
{
    json_reader in(node, path);
    target_entry out;
    out.name = target_name(in.text("name"));
    out.zone = zone_name(in.text("zone"));
    out.address = read_endpoint(in.object("address"));
    out.slots = static_cast<std::uint32_t>(
        in.optional_number("slots", 1, max_slots_per_target).value_or(1));
    out.leaving = in.boolean("leaving", false);
    in.reject_unknown_keys();
    return out;
}

host_list_snapshot decode_host_list(const nlohmann::json& node, const std::string& path)
{
    json_reader in(node, path);
    host_list_fields out;
    out.peers = read_list(in, "entry_hosts", decode_peer_entry);
    out.targets = read_list(in, "targets", decode_target_entry);
    in.reject_unknown_keys();
    return {std::move(out)};
}

} // namespace papayafall
