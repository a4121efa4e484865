#pragma once

#include "papayafall/core/engine/sinks.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace papayafall {

/// Records posted events and lets a test wait for them.
class event_recorder : public event_sink {
  public:
    void post(event incoming) override
    {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(incoming));
        arrived_.notify_all();
    }

    /// Waits up to 20 s for `count` events of type `Event`.
    /// @return all recorded events of that type; fewer than `count` after a timeout
    template <typename Event>
    std::vector<Event> wait_for(std::size_t count = 1)
    {
        std::unique_lock lock(mutex_);
        arrived_.wait_for(lock, std::chrono::seconds(20), [&] {
            return events_.size() >= count && select<Event>().size() >= count;
        });
        return select<Event>();
    }

    /// Waits up to 20 s for the next event of a type, after the events that earlier calls passed.
    /// @return empty after a timeout
    template <typename Event>
    std::optional<Event> next()
    {
        std::unique_lock lock(mutex_);
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (true) {
            for (; taken_ < events_.size(); ++taken_) {
                if (const auto* it = std::get_if<Event>(&events_[taken_])) {
                    ++taken_;
                    return std::optional<Event>(*it);
                }
            }
            if (arrived_.wait_until(lock, deadline) == std::cv_status::timeout) {
                return std::nullopt;
            }
        }
    }

    std::size_t size()
    {
        const std::lock_guard lock(mutex_);
        return events_.size();
    }

  private:
    template <typename Event>
    std::vector<Event> select() const
    {
        std::vector<Event> selected;
        for (const event& it : events_) {
            if (const auto* found = std::get_if<Event>(&it)) {
                selected.push_back(*found);
            }
        }
        return selected;
    }

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<event> events_;
    std::size_t taken_ = 0;
};

} // namespace papayafall
