#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace papayafall {

/// A section of the blackboard that all controllers append to and only the engine drains.
template <typename Message>
class message_queue {
  public:
    void post(Message message) { messages_.push_back(std::move(message)); }

    bool empty() const noexcept { return messages_.empty(); }

    std::size_t size() const noexcept { return messages_.size(); }

    /// Removes and returns all messages, in the order in which they were posted.
    std::vector<Message> drain() { return std::exchange(messages_, {}); }

  private:
    std::vector<Message> messages_;
};

} // namespace papayafall
