#pragma once

#include "papayafall/platform/hosts/host_list.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <optional>
#include <string>

namespace papayafall {

/// Host list that the platform keeps under two key prefixes, one entry a key.
/// A reading takes two calls; it fails as a whole when either does.
class stored_host_list : public host_list {
  public:
    /// @param store outlives this object and every reading
    /// @param zone zone whose targets are read; empty for the targets of all zones
    stored_host_list(key_value_store& store, std::optional<zone_name> zone);

    void read(platform_reply<host_list_snapshot> reply) override;

  private:
    key_value_store* store_;
    std::string targets_prefix_;
};

} // namespace papayafall
