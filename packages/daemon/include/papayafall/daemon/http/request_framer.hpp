#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace papayafall {

/// The buffer does not contain a complete request yet.
struct frame_incomplete {
    bool expects_continue = false; ///< the caller waits for `100 Continue` before sending the body

    auto operator<=>(const frame_incomplete&) const = default;
};

/// The buffer starts with a complete request.
struct frame_complete {
    std::size_t size = 0;   ///< of the request line, the headers and the body, in bytes
    bool keep_alive = true; ///< the connection stays open after the response

    auto operator<=>(const frame_complete&) const = default;
};

/// The buffer starts with an invalid, oversized or timed-out request.
struct frame_rejected {
    std::uint16_t status = 400; ///< HTTP status of the response
    error_id id = error_id::malformed_request;
    std::string detail;

    auto operator<=>(const frame_rejected&) const = default;
};

using framing_result = std::variant<frame_incomplete, frame_complete, frame_rejected>;

/// Finds the end of a request, so that the HTTP library receives one complete request of bounded
/// size at a time. Only the parts of the header that delimit the request are parsed; everything
/// else is left to the library.
///
/// Rejects headers and bodies over the limits, `Transfer-Encoding`, `Upgrade`, repeated or
/// malformed `Content-Length`, folded header lines, and control characters in the header: anything
/// that two parsers could delimit differently, which would allow request smuggling.
class request_framer {
  public:
    /// @param max_header_size maximum size of the request line and the headers, in bytes
    /// @param max_body_size maximum size of the body, in bytes
    request_framer(std::size_t max_header_size, std::size_t max_body_size) noexcept
        : max_header_size_(max_header_size), max_body_size_(max_body_size)
    {
    }

    /// Checks whether the received data contains a complete request.
    /// @param buffered data received since the end of the previous request; between calls it may
    ///        only grow, until `reset`
    /// Complexity: linear in the size of the header, which is parsed once per request.
    framing_result inspect(std::string_view buffered);

    /// Prepares for the next request.
    void reset();

  private:
    framing_result inspect_header(std::string_view buffered);

    std::size_t max_header_size_;
    std::size_t max_body_size_;
    std::size_t searched_size_ = 0; ///< bytes already searched for the end of the header
    std::size_t frame_size_ = 0;    ///< 0 until the header is complete
    bool keep_alive_ = true;
    bool expects_continue_ = false;
};

} // namespace papayafall
