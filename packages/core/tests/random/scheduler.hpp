#pragma once

#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace papayafall::random_runs {

/// Scheduler in virtual time: runs functions in the order of their times, and functions of the same
/// time in the order in which they were added.
class scheduler {
  public:
    time_point now() const noexcept { return now_; }

    /// Schedules `step` to run `delay` after the current virtual time.
    void after(duration delay, std::function<void()> step)
    {
        steps_.emplace(std::pair(now_ + delay, next_sequence_++), std::move(step));
    }

    /// Runs all steps up to and including `until` and sets the virtual time to it.
    void run(time_point until)
    {
        while (!steps_.empty() && steps_.begin()->first.first <= until) {
            auto node = steps_.extract(steps_.begin());
            now_ = node.key().first;
            node.mapped()();
        }
        now_ = until;
    }

  private:
    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> steps_;
};

/// Seeded pseudo-random source; a seed gives the same sequence on every machine.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Returns an integer in [low, high], uniformly distributed.
    std::uint64_t between(std::uint64_t low, std::uint64_t high)
    {
        return low + engine_() % (high - low + 1);
    }

    /// Returns a duration between `low` and `high` milliseconds, in steps of one microsecond.
    duration milliseconds(std::uint64_t low, std::uint64_t high)
    {
        return duration(static_cast<std::int64_t>(between(low * 1000, high * 1000)));
    }

    /// Returns true with a probability of `share` percent.
    bool percent(std::uint64_t share) { return between(0, 99) < share; }

  private:
    std::mt19937_64 engine_;
};

} // namespace papayafall::random_runs
