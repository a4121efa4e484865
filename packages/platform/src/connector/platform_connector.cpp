#include "papayafall/platform/connector/platform_connector.hpp"

#include "papayafall/platform/hosts/static_host_list.hpp"
#include "papayafall/platform/hosts/stored_host_list.hpp"
#include "papayafall/platform/http/http_key_value_store.hpp"
#include "papayafall/platform/memory/memory_key_value_store.hpp"
#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

http_platform_connector::http_platform_connector(http_platform_options options)
    : options_(std::move(options))
{
}

platform_connection http_platform_connector::connect(const clock_source& clock) const
{
    auto store = std::make_unique<http_key_value_store>(options_, clock);
    auto hosts = std::make_unique<stored_host_list>(*store, options_.zone);
    return {std::move(store), std::move(hosts)};
}

memory_platform_connector::memory_platform_connector(host_list_snapshot hosts,
                                                     const configuration& initial)
    : hosts_(std::move(hosts)), initial_(initial.with([](configuration_fields& it) {
          it.revision = std::max(it.revision, revision_id(1));
      }))
{
}

platform_connection memory_platform_connector::connect(const clock_source& clock) const
{
    auto store = std::make_unique<memory_key_value_store>(clock);
    store->put({keys::snapshot(), encode_configuration(initial_).dump(), put_always{}},
               [](const platform_result<put_outcome>&) {});
    return {std::move(store), std::make_unique<static_host_list>(hosts_)};
}

} // namespace papayafall
