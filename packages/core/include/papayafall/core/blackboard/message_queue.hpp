#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace papayafall {

/// A section to which every controller may append and that only the engine drains.
template <typename Message>
class message_queue {
  public:
    void post(Message message) { messages_.push_back(std::move(message)); }

    bool empty() const noexcept { return messages_.empty(); }

    std::size_t size() const noexcept { return messages_.size(); }

    /// Returns all messages in the order of their posting and leaves the queue empty.
    std::vector<Message> drain() { return std::exchange(messages_, {}); }

  private:
    std::vector<Message> messages_;
};

} // namespace papayafall
