#pragma once

#include "papayafall/core/engine/sinks.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace papayafall::test {

/// Stands for the control thread: records every event; answers requests at once when told to.
class scripted_core final : public event_sink {
  public:
    /// Answers each request with the body of its first task from now on.
    void echo_to(action_sink& sink)
    {
        const std::lock_guard lock(mutex_);
        echo_ = &sink;
    }

    void post(event incoming) override
    {
        const std::lock_guard lock(mutex_);
        if (const auto* it = std::get_if<request_received>(&incoming); it != nullptr && echo_) {
            echo_->post(answer_call{it->call, echo_of(it->content)});
        }
        events_.push_back(std::move(incoming));
        changed_.notify_all();
    }

    /// Waits for the event of type `Event` with number `n`, from 0; empty when it does not come.
    template <typename Event>
    std::optional<Event> wait_for(std::size_t n = 0)
    {
        std::unique_lock lock(mutex_);
        std::optional<Event> found;
        changed_.wait_for(lock, std::chrono::seconds(20), [&] {
            const Event* it = find<Event>(n);
            if (it != nullptr) {
                found.emplace(*it);
            }
            return it != nullptr;
        });
        return found;
    }

    /// Number of events of type `Event` so far.
    template <typename Event>
    std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        std::size_t n = 0;
        for (const event& it : events_) {
            n += std::holds_alternative<Event>(it) ? 1U : 0U;
        }
        return n;
    }

    /// The answer that repeats the body of each task.
    static answer echo_of(const request& content)
    {
        completion_fields result;
        for (const task& it : content->tasks) {
            result.answers.push_back({.status = 200, .body = it.body});
        }
        return completion(std::move(result));
    }

  private:
    template <typename Event>
    const Event* find(std::size_t n) const
    {
        for (const event& it : events_) {
            if (const auto* found = std::get_if<Event>(&it); found != nullptr && n-- == 0) {
                return found;
            }
        }
        return nullptr;
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<event> events_;
    action_sink* echo_ = nullptr;
};

} // namespace papayafall::test
