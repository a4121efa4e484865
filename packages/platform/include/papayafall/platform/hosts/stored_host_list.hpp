#pragma once

#include "papayafall/platform/hosts/host_list.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Host list that the platform keeps under two key prefixes, one entry a key.
///
/// A reading takes one call for the index of each prefix, and a listing of a prefix only where its
/// index has changed since the last reading. It fails as a whole when any call does.
class stored_host_list : public host_list {
  public:
    /// @param store outlives this object and every reading
    /// @param zone zone whose targets are read; empty for the targets of all zones
    stored_host_list(key_value_store& store, std::optional<zone_name> zone);

    void read(platform_reply<host_list_snapshot> reply) override;

  private:
    /// The entries under one prefix as they were at an index.
    struct cached_prefix {
        std::string prefix;
        modify_index index;
        std::vector<stored_value> entries;
    };

    using completion = std::function<void(const std::optional<platform_failure>&)>;

    /// Brings `cached` up to date.
    void refresh(cached_prefix& cached, completion on_done);
    void list(cached_prefix& cached, modify_index index, completion on_done);

    key_value_store* store_;
    cached_prefix peers_;
    cached_prefix targets_;
};

} // namespace papayafall
