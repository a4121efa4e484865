#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace papayafall {

/// Thread-safe queue that passes messages from any thread to a single consumer thread.
///
/// The wake-up callback is called only when the mailbox becomes non-empty, not for every message,
/// so that a busy mailbox is drained in batches. The callback runs on the posting thread; it must
/// not block and must not post to the mailbox.
template <typename Message>
class mailbox {
  public:
    /// @param wake notifies the consumer thread that the mailbox is not empty
    explicit mailbox(std::function<void()> wake) : wake_(std::move(wake)) {}

    /// Appends a message. May be called from any thread. Complexity: amortised constant.
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

    /// Removes and returns all messages, in the order in which they were posted.
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
