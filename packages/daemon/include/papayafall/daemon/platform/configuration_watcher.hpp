#pragma once

#include "papayafall/core/engine/sinks.hpp"
#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/configuration/configuration_reader.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

namespace papayafall {

/// Follows the platform's configuration while enabled: reads the configuration in force, then
/// watches for the change record of the next revision. After a failure it starts again with a full
/// read.
class configuration_watcher {
  public:
    configuration_watcher(const platform_agent_options& options, key_value_store& store,
                          const clock_source& clock, event_sink& events);

    void set_enabled(bool enabled);

  private:
    void read();
    void watch(modify_index after);
    void on_configuration_read(const platform_result<configuration_reading>& result);
    void on_watch_reply(const platform_result<read_result>& result, modify_index after,
                        time_point sent_at);
    void on_change_record(const stored_value& found);
    void publish(const configuration& content, const std::optional<change_origin>& origin);
    void schedule_retry();

    const platform_agent_options& options_;
    key_value_store& store_;
    const clock_source& clock_;
    event_sink& events_;
    bool enabled_ = false;
    std::uint64_t epoch_ = 0; ///< changes with `set_enabled`; replies of earlier epochs are ignored
    store_call watch_call_;
    configuration current_;
    retry_delay retry_delay_;
    QTimer timer_;
};

} // namespace papayafall
