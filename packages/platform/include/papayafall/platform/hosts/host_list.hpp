#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/platform/store/platform_result.hpp"

namespace papayafall {

/// The platform's list of hosts.
class host_list {
  public:
    host_list() = default;
    host_list(const host_list&) = delete;
    host_list& operator=(const host_list&) = delete;
    virtual ~host_list() = default;

    /// Reads the entry hosts of all zones and the targets of this host's zone. The reply is called
    /// from the event loop of the calling thread.
    virtual void read(platform_reply<host_list_snapshot> reply) = 0;
};

} // namespace papayafall
