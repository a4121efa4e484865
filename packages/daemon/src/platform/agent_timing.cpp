#include "agent_timing.hpp"

#include <algorithm>
#include <functional>

namespace papayafall::detail {

retry_delay make_retry_delay(const platform_agent_options& options, std::uint64_t salt)
{
    const std::uint64_t seed =
        std::hash<std::string>()(options.host.text()) ^ options.incarnation.value() ^ (salt << 32U);
    return {options.first_retry_delay, options.max_retry_delay, seed};
}

void start_timer(QTimer& timer, time_point at, const clock_source& clock)
{
    const auto remaining = std::max(duration::zero(), at - clock.read().steady);
    timer.start(std::chrono::ceil<std::chrono::milliseconds>(remaining));
}

} // namespace papayafall::detail
