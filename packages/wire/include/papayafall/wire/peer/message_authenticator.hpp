#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace papayafall {

/// Size of an authentication tag in bytes: a hash truncated to 128 bits.
inline constexpr std::size_t authentication_tag_size = 16;

using authentication_tag = std::array<char, authentication_tag_size>;

/// Message authentication code (keyed hash) for messages between hosts.
class message_authenticator {
  public:
    message_authenticator() = default;
    message_authenticator(const message_authenticator&) = delete;
    message_authenticator& operator=(const message_authenticator&) = delete;
    virtual ~message_authenticator() = default;

    /// Returns the authentication tag of `message` in `context`. The context is hashed before the
    /// message and is not sent.
    /// Complexity: linear in both sizes.
    virtual authentication_tag sign(std::string_view context, std::string_view message) const = 0;

    /// Verifies `tag` in constant time, so that the duration does not reveal how much of a wrong
    /// tag matches.
    /// @throws message_error (`message_not_authentic`) if `tag` is not the tag of `message` in
    ///         `context`
    void verify(std::string_view context, std::string_view message, std::string_view tag) const;
};

} // namespace papayafall
