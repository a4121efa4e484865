#include "papayafall/platform/hosts/stored_host_list.hpp"

#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "papayafall/wire/configuration/json_reader.hpp"

#include <utility>

namespace papayafall {

namespace {

using stored_values = std::vector<stored_value>;

/// @throws configuration_error when an entry is malformed
host_list_snapshot decode(const stored_values& peers, const stored_values& targets)
{
    host_list_fields out;
    for (const stored_value& it : peers) {
        out.peers.push_back(decode_peer_entry(parse_json(it.data), "/" + it.key));
    }
    for (const stored_value& it : targets) {
        out.targets.push_back(decode_target_entry(parse_json(it.data), "/" + it.key));
    }
    return {std::move(out)};
}

platform_result<host_list_snapshot> combine(const stored_values& peers,
                                            const platform_result<stored_values>& targets)
{
    if (const auto* failure = std::get_if<platform_failure>(&targets)) {
        return *failure;
    }
    try {
        return decode(peers, std::get<stored_values>(targets));
    } catch (const configuration_error& it) {
        return platform_failure{error_id::platform_protocol, write_effect::not_applied, it.what()};
    }
}

} // namespace

stored_host_list::stored_host_list(key_value_store& store, std::optional<zone_name> zone)
    : store_(&store),
      targets_prefix_(zone ? keys::listed_targets(*zone) : keys::all_listed_targets())
{
}

void stored_host_list::read(platform_reply<host_list_snapshot> reply)
{
    auto read_targets = [store = store_, prefix = targets_prefix_,
                         reply = std::move(reply)](const platform_result<stored_values>& peers) {
        if (const auto* failure = std::get_if<platform_failure>(&peers)) {
            reply(*failure);
            return;
        }
        store->list(prefix, [reply, entries = std::get<stored_values>(peers)](
                                const platform_result<stored_values>& targets) {
            reply(combine(entries, targets));
        });
    };
    store_->list(keys::listed_entry_hosts(), std::move(read_targets));
}

} // namespace papayafall
