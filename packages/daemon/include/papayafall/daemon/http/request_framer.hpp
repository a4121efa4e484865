#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace papayafall {

/// The buffered bytes do not hold a whole request yet.
struct frame_incomplete {
    bool expects_continue = false; ///< the caller waits for `100 Continue` before its body

    auto operator<=>(const frame_incomplete&) const = default;
};

/// The buffered bytes start with a whole request.
struct frame_complete {
    std::size_t size = 0;   ///< bytes of the request line, the headers and the body
    bool keep_alive = true; ///< the caller may send another request on the connection

    auto operator<=>(const frame_complete&) const = default;
};

/// The buffered bytes do not start with an acceptable request.
struct frame_rejected {
    std::uint16_t status = 400; ///< HTTP status
    error_id id = error_id::malformed_request;
    std::string detail;

    auto operator<=>(const frame_rejected&) const = default;
};

using framing_result = std::variant<frame_incomplete, frame_complete, frame_rejected>;

/// Finds where a request ends, so that the HTTP library gets one whole request of bounded size
/// at a time. It looks only at what delimits a request; everything else is left to the library.
///
/// Refused are headers and bodies over the limits, `Transfer-Encoding`, `Upgrade`, repeated or
/// malformed `Content-Length`, folded lines, and control characters in the header: whatever
/// two readers could delimit differently.
class request_framer {
  public:
    /// @param max_header_size largest request line and headers, in bytes
    /// @param max_body_size largest body, in bytes
    request_framer(std::size_t max_header_size, std::size_t max_body_size) noexcept
        : max_header_size_(max_header_size), max_body_size_(max_body_size)
    {
    }

    /// Looks at `buffered`, the bytes that arrived since the end of the request before.
    /// Complexity: linear in the size of the header; the header is read once a request as long as
    /// `buffered` only grows.
    framing_result inspect(std::string_view buffered);

    /// Starts over with the request that follows.
    void reset();

  private:
    framing_result inspect_header(std::string_view buffered);

    std::size_t max_header_size_;
    std::size_t max_body_size_;
    std::size_t searched_size_ = 0; ///< bytes known not to hold the end of the header
    std::size_t frame_size_ = 0;    ///< 0 while the header is not complete
    bool keep_alive_ = true;
    bool expects_continue_ = false;
};

} // namespace papayafall
