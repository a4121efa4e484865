#include "event_loop.hpp"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr milliseconds longest_poll{5};

} // namespace

void event_loop::watch(int descriptor, short events, ready_handler handle)
{
    watched_[descriptor] = {events, std::move(handle)};
}

void event_loop::forget(int descriptor)
{
    watched_.erase(descriptor);
}

void event_loop::at(time_point instant, std::function<void()> action)
{
    timers_.emplace(instant, std::move(action));
}

void event_loop::after(milliseconds delay, std::function<void()> action)
{
    at(steady::now() + delay, std::move(action));
}

bool event_loop::run_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end) {
            return false;
        }
        run_due_timers();
        poll_descriptors(end);
    }
    return true;
}

void event_loop::run_for(milliseconds length)
{
    run_until([] { return false; }, length);
}

void event_loop::run_due_timers()
{
    while (!timers_.empty() && timers_.begin()->first <= steady::now()) {
        const std::function<void()> action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
    }
}

void event_loop::poll_descriptors(time_point deadline)
{
    std::vector<pollfd> polled;
    for (const auto& [descriptor, it] : watched_) {
        polled.push_back({.fd = descriptor, .events = it.events, .revents = 0});
    }
    const time_point next = timers_.empty() ? deadline : std::min(deadline, timers_.begin()->first);
    const auto left = std::chrono::ceil<milliseconds>(next - steady::now());
    const auto wait = std::clamp(left, milliseconds(0), longest_poll);
    ::poll(polled.data(), polled.size(), static_cast<int>(wait.count()));
    for (const pollfd& it : polled) {
        if (it.revents == 0) {
            continue;
        }
        const auto found = watched_.find(it.fd);
        if (found != watched_.end()) {
            const ready_handler handle = found->second.handle;
            handle(it.revents);
        }
    }
}

} // namespace review
