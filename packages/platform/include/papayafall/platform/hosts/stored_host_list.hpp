#pragma once

#include "papayafall/platform/hosts/host_list.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

namespace papayafall {

/// Host list that the platform keeps under two key prefixes, one entry a key.
/// A reading takes two calls; it fails as a whole when either does.
class stored_host_list : public host_list {
  public:
    /// @param store outlives this object and every reading
    stored_host_list(key_value_store& store, zone_name zone);

    void read(platform_reply<host_list_snapshot> reply) override;

  private:
    key_value_store* store_;
    zone_name zone_;
};

} // namespace papayafall
