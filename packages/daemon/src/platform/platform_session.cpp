#include "papayafall/daemon/platform/platform_session.hpp"

#include "agent_timing.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

constexpr int renewals_per_ttl = 3;
/// The lease is shortened by the time to live divided by this.
constexpr int lease_margin_divisor = 10;

} // namespace

platform_session::platform_session(const platform_agent_options& options, key_value_store& store,
                                   const clock_source& clock, event_sink& events,
                                   std::function<void()> on_ended)
    : options_(options), store_(store), clock_(clock), events_(events),
      on_ended_(std::move(on_ended)), retry_delay_(detail::make_retry_delay(options, 1))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_timer(); });
}

void platform_session::open()
{
    const time_point sent_at = clock_.read().steady;
    const std::string name = "papayafall-" + options_.host.text();
    store_.open_session(
        name, options_.session_ttl,
        [this, sent_at](const platform_result<session_id>& result) { on_opened(result, sent_at); });
}

void platform_session::close(std::function<void()> done)
{
    closed_ = true;
    timer_.stop();
    if (session_.empty()) {
        done();
        return;
    }
    store_.destroy_session(
        session_,
        [done = std::move(done)](const platform_result<session_status>& /*result*/) { done(); });
}

void platform_session::renew()
{
    const time_point sent_at = clock_.read().steady;
    store_.renew_session(session_, [this, sent_at](const platform_result<session_status>& result) {
        on_renewed(result, sent_at);
    });
}

void platform_session::on_opened(const platform_result<session_id>& result, time_point sent_at)
{
    if (closed_) {
        return;
    }
    if (std::holds_alternative<platform_failure>(result)) {
        if (!std::exchange(lost_event_posted_, true)) {
            events_.post(session_lost{});
        }
        schedule_retry();
        return;
    }
    session_ = std::get<session_id>(result);
    report_confirmed(sent_at);
}

void platform_session::on_renewed(const platform_result<session_status>& result, time_point sent_at)
{
    if (closed_) {
        return;
    }
    if (std::holds_alternative<platform_failure>(result)) {
        schedule_retry();
        return;
    }
    if (std::get<session_status>(result) == session_status::ended) {
        on_session_ended();
        return;
    }
    report_confirmed(sent_at);
}

void platform_session::report_confirmed(time_point sent_at)
{
    retry_delay_.reset();
    lost_event_posted_ = false;
    const auto margin = options_.session_ttl / lease_margin_divisor;
    events_.post(session_confirmed{sent_at + options_.session_ttl - margin});
    detail::start_timer(timer_, sent_at + options_.session_ttl / renewals_per_ttl, clock_);
}

void platform_session::schedule_retry()
{
    const time_point now = clock_.read().steady;
    const time_point latest = now + options_.session_ttl / renewals_per_ttl;
    detail::start_timer(timer_, std::min(retry_delay_.next(now), latest), clock_);
}

void platform_session::on_session_ended()
{
    session_ = session_id();
    lost_event_posted_ = true;
    events_.post(session_lost{});
    on_ended_();
    open();
}

void platform_session::on_timer()
{
    if (session_.empty()) {
        open();
        return;
    }
    renew();
}

} // namespace papayafall
