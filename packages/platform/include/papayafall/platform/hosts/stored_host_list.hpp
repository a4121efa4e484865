#pragma once

#include "papayafall/platform/hosts/host_list.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Host list that the platform stores under two key prefixes, with one key for each entry.
///
/// A read queries the index of each prefix and lists a prefix only if its index has changed since
/// the last read. The read fails if any of its calls fails.
class stored_host_list : public host_list {
  public:
    /// @param store must outlive this object and every read
    /// @param zone zone whose targets are read; empty to read the targets of all zones
    stored_host_list(key_value_store& store, std::optional<zone_name> zone);

    void read(platform_reply<host_list_snapshot> reply) override;

  private:
    /// Entries under one prefix, cached as of `index`.
    struct cached_prefix {
        std::string prefix;
        modify_index index;
        std::vector<stored_value> entries;
    };

    using completion = std::function<void(const std::optional<platform_failure>&)>;

    /// Lists the prefix again if its index has changed.
    void refresh(cached_prefix& cached, completion on_done);
    void list(cached_prefix& cached, modify_index index, completion on_done);

    key_value_store* store_;
    cached_prefix peers_;
    cached_prefix targets_;
};

} // namespace papayafall
