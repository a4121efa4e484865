#include "papayafall/platform/hosts/stored_host_list.hpp"

#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/host_list_json.hpp"
#include "papayafall/wire/configuration/json_reader.hpp"

#include <utility>

namespace papayafall {

namespace {

using stored_values = std::vector<stored_value>;

/// @throws configuration_error if an entry is malformed
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

platform_result<host_list_snapshot> decode_hosts(const stored_values& peers,
                                                 const stored_values& targets)
{
    try {
        return decode(peers, targets);
    } catch (const configuration_error& it) {
        return platform_failure{error_id::platform_protocol, write_effect::not_applied, it.what()};
    }
}

} // namespace

stored_host_list::stored_host_list(key_value_store& store, std::optional<zone_name> zone)
    : store_(&store), peers_{.prefix = keys::listed_entry_hosts()},
      targets_{.prefix = zone ? keys::listed_targets(*zone) : keys::all_listed_targets()}
{
}

void stored_host_list::read(platform_reply<host_list_snapshot> reply)
{
    auto finish = [this, reply](const std::optional<platform_failure>& failure) {
        if (failure) {
            reply(*failure);
            return;
        }
        reply(decode_hosts(peers_.entries, targets_.entries));
    };
    refresh(peers_, [this, reply, finish](const std::optional<platform_failure>& failure) {
        if (failure) {
            reply(*failure);
            return;
        }
        refresh(targets_, finish);
    });
}

void stored_host_list::refresh(cached_prefix& cached, completion on_done)
{
    store_->index(cached.prefix, [this, &cached, on_done = std::move(on_done)](
                                     const platform_result<modify_index>& result) {
        if (const auto* failure = std::get_if<platform_failure>(&result)) {
            on_done(*failure);
            return;
        }
        const modify_index index = std::get<modify_index>(result);
        if (index == cached.index) {
            on_done(std::nullopt);
            return;
        }
        list(cached, index, on_done);
    });
}

void stored_host_list::list(cached_prefix& cached, modify_index index, completion on_done)
{
    // `index` was read before the listing: a write in between causes another listing on the next
    // read.
    store_->list(cached.prefix, [&cached, index, on_done = std::move(on_done)](
                                    const platform_result<stored_values>& result) {
        if (const auto* failure = std::get_if<platform_failure>(&result)) {
            on_done(*failure);
            return;
        }
        cached.entries = std::get<stored_values>(result);
        cached.index = index;
        on_done(std::nullopt);
    });
}

} // namespace papayafall
