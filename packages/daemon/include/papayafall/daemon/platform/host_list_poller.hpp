#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

#include <optional>

namespace papayafall {

/// Reads the host list periodically and posts an event if it has changed.
class host_list_poller {
  public:
    host_list_poller(const platform_agent_options& options, host_list& hosts,
                     const clock_source& clock, event_sink& events);

    void read();

  private:
    void on_read(const platform_result<host_list_snapshot>& result);

    const platform_agent_options& options_;
    host_list& hosts_;
    const clock_source& clock_;
    event_sink& events_;
    std::optional<host_list_snapshot> last_posted_;
    retry_delay retry_delay_;
    QTimer timer_;
};

} // namespace papayafall
