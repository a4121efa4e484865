#pragma once

#include "papayafall/platform/http/http_message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// Size limits of a received message, in bytes.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1} << 20U;

    auto operator<=>(const http_limits&) const = default;
};

/// Incremental parser for the messages that arrive on a connection.
/// @tparam Message `http_request_message` or `http_reply_message`
template <typename Message>
class http_reader {
  public:
    explicit http_reader(const http_limits& limits);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader();

    /// Appends received bytes.
    void feed(std::string_view received) { unparsed_.append(received); }

    /// Parses the next message; empty while it is incomplete.
    /// @throws message_error if the bytes are not a valid HTTP/1.1 message, exceed the limits, or
    ///         begin a response whose body ends with the connection
    std::optional<Message> next();

    /// Whether bytes of a message that `next` has not returned yet have arrived.
    bool has_partial_message() const noexcept { return has_partial_message_ || !unparsed_.empty(); }

    /// Number of received bytes that the parser has not consumed.
    std::size_t unparsed_bytes() const noexcept { return unparsed_.size(); }

  private:
    struct parser;

    http_limits limits_;
    std::unique_ptr<parser> parser_;
    std::string unparsed_; ///< bytes that the parser has not consumed
    bool has_partial_message_ = false;
};

extern template class http_reader<http_request_message>;
extern template class http_reader<http_reply_message>;

} // namespace papayafall
