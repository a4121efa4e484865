#pragma once

#include <poll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t now_ms();

/// Single-threaded loop over file descriptors and timers.
class event_loop {
  public:
    using handler = std::function<void()>;

    void watch_read(int fd, handler on_readable) { readers_[fd] = std::move(on_readable); }

    void watch_write(int fd, handler on_writable) { writers_[fd] = std::move(on_writable); }

    void unwatch_write(int fd) { writers_.erase(fd); }

    void unwatch(int fd)
    {
        readers_.erase(fd);
        writers_.erase(fd);
    }

    /// Calls `action` once, `delay_ms` from now.
    void after(std::int64_t delay_ms, handler action);

    /// Calls `action` now and then each `period_ms`.
    void every(std::int64_t period_ms, const handler& action);

    /// Runs until `condition` holds or `limit_ms` have passed.
    /// @return whether the condition holds
    bool run_until(const std::function<bool()>& condition, std::int64_t limit_ms);

    void run_for(std::int64_t length_ms)
    {
        run_until([] { return false; }, length_ms);
    }

  private:
    void run_once();

    std::map<int, handler> readers_;
    std::map<int, handler> writers_;
    std::multimap<std::int64_t, handler> timers_;
};

} // namespace review
