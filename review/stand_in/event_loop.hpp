#pragma once

#include <chrono>
#include <functional>
#include <map>

namespace review {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using std::chrono::milliseconds;

/// Single-threaded loop over file descriptors and timers.
class event_loop {
  public:
    using ready_handler = std::function<void(short)>;

    /// Calls the handler when one of the `poll` events occurs. Replaces an earlier watch.
    void watch(int descriptor, short events, ready_handler handle);
    void forget(int descriptor);

    /// Runs the action once at the instant, or as soon as possible after it.
    void at(time_point instant, std::function<void()> action);
    void after(milliseconds delay, std::function<void()> action);

    /// Runs until the condition holds or the limit has passed.
    /// @return whether the condition held
    bool run_until(const std::function<bool()>& condition, milliseconds limit);
    void run_for(milliseconds length);

  private:
    struct watched {
        short events = 0;
        ready_handler handle;
    };

    void run_due_timers();
    void poll_descriptors(time_point deadline);

    std::map<int, watched> watched_;
    std::multimap<time_point, std::function<void()>> timers_;
};

} // namespace review
