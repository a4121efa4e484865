#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace papayafall::bench {

/// A task at a target.
struct fake_task {
    exchange_id exchange;
    duration run_time;
};

/// A target in virtual time, with a fixed number of slots, a speed and, if it accepts more tasks
/// than it can run, a queue.
class fake_target {
  public:
    /// @param slowdown       factor on the run time of all tasks
    /// @param fails          whether all tasks fail
    /// @param queues_excess  whether tasks without a free slot are queued instead of refused
    fake_target(std::uint32_t slots, double slowdown, bool fails, bool queues_excess)
        : slots_(slots), slowdown_(slowdown), fails_(fails), queues_excess_(queues_excess)
    {
    }

    bool fails() const { return fails_; }

    bool refuses() const { return !queues_excess_ && running_ >= slots_; }

    /// Accepts a task that it does not refuse; returns the task if it starts at once.
    std::optional<fake_task> accept(const fake_task& it)
    {
        if (running_ >= slots_) {
            queue_.push_back(it);
            return std::nullopt;
        }
        ++running_;
        return with_slowdown(it);
    }

    /// Ends a task; returns the queued task that starts in its place, if any.
    std::optional<fake_task> finish()
    {
        --running_;
        if (queue_.empty()) {
            return std::nullopt;
        }
        const fake_task next = queue_.front();
        queue_.pop_front();
        ++running_;
        return with_slowdown(next);
    }

  private:
    fake_task with_slowdown(const fake_task& it) const
    {
        const auto slowed_us = static_cast<double>(it.run_time.count()) * slowdown_;
        return {it.exchange, duration(static_cast<duration::rep>(slowed_us))};
    }

    std::uint32_t slots_;
    double slowdown_;
    bool fails_;
    bool queues_excess_;
    std::uint32_t running_ = 0;
    std::deque<fake_task> queue_;
};

} // namespace papayafall::bench
