#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace papayafall::bench {

/// Work at a target.
struct fake_job {
    exchange_id exchange;
    duration run_time;
};

/// A target in virtual time: a fixed number of slots, a speed, and a queue of its own where it
/// takes more than it can run.
class fake_target {
  public:
    fake_target(std::uint32_t slots, double slowness, bool fails, bool queues)
        : slots_(slots), slowness_(slowness), fails_(fails), queues_(queues)
    {
    }

    bool fails() const { return fails_; }

    bool refuses() const { return !queues_ && running_ >= slots_; }

    /// Takes a job that it did not refuse; returns it when it starts at once.
    std::optional<fake_job> take(const fake_job& it)
    {
        if (running_ >= slots_) {
            waiting_.push_back(it);
            return std::nullopt;
        }
        ++running_;
        return slowed(it);
    }

    /// Ends a job; returns the waiting one that starts in its place.
    std::optional<fake_job> finish()
    {
        --running_;
        if (waiting_.empty()) {
            return std::nullopt;
        }
        const fake_job next = waiting_.front();
        waiting_.pop_front();
        ++running_;
        return slowed(next);
    }

  private:
    fake_job slowed(const fake_job& it) const
    {
        const auto stretched = static_cast<double>(it.run_time.count()) * slowness_;
        return {it.exchange, duration(static_cast<duration::rep>(stretched))};
    }

    std::uint32_t slots_;
    double slowness_;
    bool fails_;
    bool queues_;
    std::uint32_t running_ = 0;
    std::deque<fake_job> waiting_;
};

} // namespace papayafall::bench
