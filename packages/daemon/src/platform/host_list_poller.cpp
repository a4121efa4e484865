#include "papayafall/daemon/platform/host_list_poller.hpp"

#include "agent_timing.hpp"

namespace papayafall {

host_list_poller::host_list_poller(const platform_agent_options& options, host_list& hosts,
                                   const clock_source& clock, event_sink& events)
    : options_(options), hosts_(hosts), clock_(clock), events_(events),
      retry_delay_(detail::make_retry_delay(options, 4))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { read(); });
}

void host_list_poller::read()
{
    hosts_.read([this](const platform_result<host_list_snapshot>& result) { on_read(result); });
}

void host_list_poller::on_read(const platform_result<host_list_snapshot>& result)
{
    const time_point now = clock_.read().steady;
    if (std::holds_alternative<platform_failure>(result)) {
        detail::start_timer(timer_, retry_delay_.next(now), clock_);
        return;
    }
    retry_delay_.reset();
    const auto& hosts = std::get<host_list_snapshot>(result);
    if (last_posted_ != hosts) {
        last_posted_ = hosts;
        events_.post(host_list_received{hosts});
    }
    detail::start_timer(timer_, now + options_.host_list_period, clock_);
}

} // namespace papayafall
