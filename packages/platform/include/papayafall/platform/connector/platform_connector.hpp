#pragma once

#include "papayafall/core/values/configuration.hpp"
#include "papayafall/platform/clock/clock_source.hpp"
#include "papayafall/platform/hosts/host_list.hpp"
#include "papayafall/platform/http/platform_http_client.hpp"
#include "papayafall/platform/store/key_value_store.hpp"

#include <memory>

namespace papayafall {

/// Platform services for use by one thread.
struct platform_connection {
    std::unique_ptr<key_value_store> store;
    std::unique_ptr<host_list> hosts; ///< may refer to `store`
};

/// Creates the platform services on the thread that will use them.
class platform_connector {
  public:
    platform_connector() = default;
    platform_connector(const platform_connector&) = delete;
    platform_connector& operator=(const platform_connector&) = delete;
    virtual ~platform_connector() = default;

    /// @param clock must outlive the connection
    virtual platform_connection connect(const clock_source& clock) const = 0;
};

/// Connects to the platform's services over HTTP.
class http_platform_connector : public platform_connector {
  public:
    explicit http_platform_connector(http_platform_options options);

    platform_connection connect(const clock_source& clock) const override;

  private:
    http_platform_options options_;
};

/// Embedded platform for a single host: hosts and configuration come from the settings, and all
/// state is lost when the process ends.
class memory_platform_connector : public platform_connector {
  public:
    /// @param initial configuration in force at the start; gets revision 1 if it has no revision
    memory_platform_connector(host_list_snapshot hosts, const configuration& initial);

    platform_connection connect(const clock_source& clock) const override;

  private:
    host_list_snapshot hosts_;
    configuration initial_;
};

} // namespace papayafall
