#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace papayafall {

/// Size of an authentication tag in bytes: a hash truncated to 128 bits.
inline constexpr std::size_t authentication_tag_size = 16;

using authentication_tag = std::array<char, authentication_tag_size>;

/// Keyed hash over the messages between the system's processes.
class message_authenticator {
  public:
    message_authenticator() = default;
    message_authenticator(const message_authenticator&) = delete;
    message_authenticator& operator=(const message_authenticator&) = delete;
    virtual ~message_authenticator() = default;

    /// Tag of `message` in `context`; the context is hashed first and is not sent.
    /// Complexity: linear in both sizes.
    virtual authentication_tag sign(std::string_view context, std::string_view message) const = 0;

    /// Throws unless `tag` belongs to `message` in `context`; takes the same time for each wrong
    /// tag.
    /// @throws message_error `message_not_authentic`
    void verify(std::string_view context, std::string_view message, std::string_view tag) const;
};

} // namespace papayafall
