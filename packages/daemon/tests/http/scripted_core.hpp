#pragma once

#include "support/event_recorder.hpp"

#include <atomic>
#include <cstddef>
#include <optional>

namespace papayafall::test {

/// Replaces the control thread in tests: records every event and optionally echoes requests.
class scripted_core final : public event_recorder {
  public:
    /// From now on, answers each request with the bodies of its tasks.
    void echo_to(action_sink& sink) { echo_ = &sink; }

    void post(event incoming) override
    {
        action_sink* echo = echo_;
        if (const auto* it = std::get_if<request_received>(&incoming); it != nullptr && echo) {
            echo->post(answer_call{it->call, echo_answer(it->content)});
        }
        event_recorder::post(std::move(incoming));
    }

    /// Waits for the event of type `Event` with the zero-based index `n`; empty if it times out.
    template <typename Event>
    std::optional<Event> find(std::size_t n = 0)
    {
        const auto found = wait_for<Event>(n + 1);
        return n < found.size() ? std::optional<Event>(found[n]) : std::nullopt;
    }

    /// Number of events of type `Event` so far.
    template <typename Event>
    std::size_t count()
    {
        return wait_for<Event>(0).size();
    }

    /// Creates an answer that repeats the body of each task.
    static answer echo_answer(const request& content)
    {
        completion_fields result;
        for (const task& it : content->tasks) {
            result.answers.push_back({.status = 200, .body = it.body});
        }
        return completion(std::move(result));
    }

  private:
    std::atomic<action_sink*> echo_ = nullptr;
};

} // namespace papayafall::test
