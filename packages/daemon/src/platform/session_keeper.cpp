#include "papayafall/daemon/platform/session_keeper.hpp"

#include "agent_timing.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

namespace {

constexpr int renewals_per_ttl = 3;
/// Share of the time to live by which the lease is shortened.
constexpr int margin_divisor = 10;

} // namespace

session_keeper::session_keeper(const platform_agent_options& options, key_value_store& store,
                               const clock_source& clock, event_sink& events,
                               std::function<void()> on_lost)
    : options_(options), store_(store), clock_(clock), events_(events),
      on_lost_(std::move(on_lost)), delay_(detail::make_retry_delay(options, 1))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { act(); });
}

void session_keeper::open()
{
    const time_point sent_at = clock_.read().steady;
    const std::string name = "papayafall-" + options_.host.text();
    store_.open_session(name, options_.session_ttl,
                        [this, sent_at](const platform_result<session_id>& result) {
                            take_opened(result, sent_at);
                        });
}

void session_keeper::close(std::function<void()> done)
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

void session_keeper::renew()
{
    const time_point sent_at = clock_.read().steady;
    store_.renew_session(session_, [this, sent_at](const platform_result<session_status>& result) {
        take_renewed(result, sent_at);
    });
}

void session_keeper::take_opened(const platform_result<session_id>& result, time_point sent_at)
{
    if (closed_) {
        return;
    }
    if (std::holds_alternative<platform_failure>(result)) {
        if (!std::exchange(loss_reported_, true)) {
            events_.post(session_lost{});
        }
        retry();
        return;
    }
    session_ = std::get<session_id>(result);
    confirm(sent_at);
}

void session_keeper::take_renewed(const platform_result<session_status>& result, time_point sent_at)
{
    if (closed_) {
        return;
    }
    if (std::holds_alternative<platform_failure>(result)) {
        retry();
        return;
    }
    if (std::get<session_status>(result) == session_status::ended) {
        lose();
        return;
    }
    confirm(sent_at);
}

void session_keeper::confirm(time_point sent_at)
{
    delay_.reset();
    loss_reported_ = false;
    const auto margin = options_.session_ttl / margin_divisor;
    events_.post(session_confirmed{sent_at + options_.session_ttl - margin});
    detail::start_timer(timer_, sent_at + options_.session_ttl / renewals_per_ttl, clock_);
}

void session_keeper::retry()
{
    const time_point now = clock_.read().steady;
    const time_point latest = now + options_.session_ttl / renewals_per_ttl;
    detail::start_timer(timer_, std::min(delay_.next(now), latest), clock_);
}

void session_keeper::lose()
{
    session_ = session_id();
    loss_reported_ = true;
    events_.post(session_lost{});
    on_lost_();
    open();
}

void session_keeper::act()
{
    if (session_.empty()) {
        open();
        return;
    }
    renew();
}

} // namespace papayafall
