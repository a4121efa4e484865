#pragma once

#include "papayafall/daemon/persistent/http_message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace papayafall {

/// Limits on what a peer may send.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1} << 20U;

    auto operator<=>(const http_limits&) const = default;
};

/// Takes messages of one kind out of the bytes of a connection.
/// @tparam Message `http_request_message` or `http_reply_message`
template <typename Message>
class http_reader {
  public:
    explicit http_reader(const http_limits& limits);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader();

    void feed(std::string_view received) { unparsed_.append(received); }

    /// Next whole message, or empty while it is incomplete.
    /// @throws message_error for bytes that are no HTTP/1.1 message within the limits
    std::optional<Message> next();

    /// Whether part of a message has arrived.
    bool has_partial_message() const noexcept { return has_partial_message_ || !unparsed_.empty(); }

  private:
    struct parser;

    http_limits limits_;
    std::unique_ptr<parser> parser_;
    std::string unparsed_; ///< bytes that the parser has not taken
    bool has_partial_message_ = false;
};

extern template class http_reader<http_request_message>;
extern template class http_reader<http_reply_message>;

} // namespace papayafall
