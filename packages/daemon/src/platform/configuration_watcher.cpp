#include "papayafall/daemon/platform/configuration_watcher.hpp"

#include "agent_timing.hpp"

#include "papayafall/platform/store/keys.hpp"

#include <algorithm>

namespace papayafall {

namespace {

/// Minimum time between two watch calls that find no change.
constexpr std::chrono::milliseconds min_watch_period{500};

} // namespace

configuration_watcher::configuration_watcher(const platform_agent_options& options,
                                             key_value_store& store, const clock_source& clock,
                                             event_sink& events)
    : options_(options), store_(store), clock_(clock), events_(events),
      retry_delay_(detail::make_retry_delay(options, 3))
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { read(); });
}

void configuration_watcher::set_enabled(bool enabled)
{
    if (enabled == enabled_) {
        return;
    }
    enabled_ = enabled;
    ++epoch_;
    timer_.stop();
    store_.cancel(watch_call_);
    if (enabled_) {
        read();
    }
}

void configuration_watcher::read()
{
    read_configuration(
        store_, [this, epoch = epoch_](const platform_result<configuration_reading>& result) {
            if (epoch == epoch_) {
                on_configuration_read(result);
            }
        });
}

void configuration_watcher::watch(modify_index after)
{
    const time_point sent_at = clock_.read().steady;
    auto reply = [this, epoch = epoch_, after, sent_at](const platform_result<read_result>& it) {
        if (epoch == epoch_) {
            on_watch_reply(it, after, sent_at);
        }
    };
    watch_call_ = store_.watch(keys::change(current_->revision.next()), after,
                               sent_at + options_.watch_wait, reply);
}

void configuration_watcher::on_configuration_read(
    const platform_result<configuration_reading>& result)
{
    if (std::holds_alternative<platform_failure>(result)) {
        schedule_retry();
        return;
    }
    const auto& reading = std::get<configuration_reading>(result);
    const auto& last = reading.last_change;
    publish(reading.content, last ? std::optional(origin_of(*last)) : std::nullopt);
    watch(modify_index());
}

void configuration_watcher::on_watch_reply(const platform_result<read_result>& result,
                                           modify_index after, time_point sent_at)
{
    if (std::holds_alternative<platform_failure>(result)) {
        schedule_retry();
        return;
    }
    retry_delay_.reset();
    const auto& read = std::get<read_result>(result);
    if (read.found) {
        on_change_record(*read.found);
        return;
    }
    const time_point now = clock_.read().steady;
    const bool too_early = after != modify_index() && now - sent_at < min_watch_period;
    if (too_early) {
        detail::start_timer(timer_, sent_at + min_watch_period, clock_);
        return;
    }
    const bool index_reset = read.index < after;
    watch(index_reset ? modify_index() : read.index);
}

void configuration_watcher::on_change_record(const stored_value& found)
{
    try {
        const change_record record = decode_change_record(found.data);
        publish(apply_change(current_, record), origin_of(record));
    } catch (const configuration_error&) {
        schedule_retry();
        return;
    }
    watch(modify_index());
}

void configuration_watcher::publish(const configuration& content,
                                    const std::optional<change_origin>& origin)
{
    if (content->revision <= current_->revision) {
        return;
    }
    current_ = content;
    events_.post(configuration_received{content, origin});
}

void configuration_watcher::schedule_retry()
{
    detail::start_timer(timer_, retry_delay_.next(clock_.read().steady), clock_);
}

} // namespace papayafall
