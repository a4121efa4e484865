#pragma once

#include "papayafall/daemon/platform/platform_agent.hpp"
#include "papayafall/platform/retry/retry_delay.hpp"

#include <QTimer>

namespace papayafall::detail {

/// Delay between the tries of a call; hosts differ by their names and `salt`.
retry_delay make_retry_delay(const platform_agent_options& options, std::uint64_t salt);

/// Starts a single-shot timer that fires at `at`.
void start_timer(QTimer& timer, time_point at, const clock_source& clock);

} // namespace papayafall::detail
