#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace papayafall {

/// Hands messages from any thread to the one thread that drains it.
///
/// The wake-up callback is called once when the mailbox becomes non-empty, not once a message,
/// so that a busy mailbox is drained in batches. It must not block and must not post.
template <typename Message>
class mailbox {
  public:
    explicit mailbox(std::function<void()> wake) : wake_(std::move(wake)) {}

    /// Appends a message; callable from any thread. Complexity: amortised constant.
    void post(Message message)
    {
        bool was_empty = false;
        {
            const std::lock_guard lock(mutex_);
            was_empty = messages_.empty();
            messages_.push_back(std::move(message));
        }
        if (was_empty) {
            wake_();
        }
    }

    /// Returns all messages in the order of their posting.
    std::vector<Message> drain()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(messages_, {});
    }

  private:
    std::function<void()> wake_;
    std::mutex mutex_;
    std::vector<Message> messages_;
};

} // namespace papayafall
