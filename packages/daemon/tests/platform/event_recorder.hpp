#pragma once

#include "papayafall/core/engine/sinks.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace papayafall {

/// Keeps the events that other threads post and lets a test wait for the next of a kind.
class event_recorder : public event_sink {
  public:
    void post(event incoming) override
    {
        {
            const std::lock_guard lock(mutex_);
            events_.push_back(std::move(incoming));
        }
        changed_.notify_all();
    }

    /// Next event of a kind after the ones taken before; empty when none comes within 20 s.
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
            if (changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
                return std::nullopt;
            }
        }
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<event> events_;
    std::size_t taken_ = 0;
};

} // namespace papayafall
