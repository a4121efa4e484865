#pragma once

#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

namespace papayafall::detail {

/// Makes the retry delay of a component. The jitter's seed is derived from the host's name and
/// incarnation and from `salt`, which differs between the components of a host.
retry_delay make_retry_delay(const platform_agent_options& options, std::uint64_t salt);

/// Starts a single-shot timer that fires at `at`.
void start_timer(QTimer& timer, time_point at, const clock_source& clock);

} // namespace papayafall::detail
