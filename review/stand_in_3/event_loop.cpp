#include "event_loop.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr std::int64_t longest_poll_ms = 5;

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void event_loop::after(std::int64_t delay_ms, handler action)
{
    timers_.emplace(now_ms() + delay_ms, std::move(action));
}

void event_loop::every(std::int64_t period_ms, const handler& action)
{
    action();
    after(period_ms, [this, period_ms, action] { every(period_ms, action); });
}

bool event_loop::run_until(const std::function<bool()>& condition, std::int64_t limit_ms)
{
    const std::int64_t end = now_ms() + limit_ms;
    while (!condition()) {
        if (now_ms() >= end) {
            return false;
        }
        run_once();
    }
    return true;
}

void event_loop::run_once()
{
    std::set<int> fds;
    for (const auto& [fd, it] : readers_) {
        fds.insert(fd);
    }
    for (const auto& [fd, it] : writers_) {
        fds.insert(fd);
    }
    std::vector<pollfd> polled;
    for (const int fd : fds) {
        const int reads = readers_.contains(fd) ? POLLIN : 0;
        const int writes = writers_.contains(fd) ? POLLOUT : 0;
        polled.push_back({.fd = fd, .events = static_cast<short>(reads | writes), .revents = 0});
    }
    poll(polled.data(), polled.size(), static_cast<int>(longest_poll_ms));
    for (const pollfd& it : polled) {
        const bool failed = (it.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0;
        if ((it.revents & POLLOUT) != 0 || failed) {
            if (const auto found = writers_.find(it.fd); found != writers_.end()) {
                const handler action = found->second;
                action();
            }
        }
        if ((it.revents & POLLIN) != 0 || failed) {
            if (const auto found = readers_.find(it.fd); found != readers_.end()) {
                const handler action = found->second;
                action();
            }
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
        const handler action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
    }
}

} // namespace review
