#pragma once

#include "papayafall/core/values/bytes.hpp"
#include "papayafall/wire/peer/message_authenticator.hpp"

#include <QByteArray>

namespace papayafall {

/// Minimum length of the shared key, in bytes.
inline constexpr std::size_t min_shared_key_size = 16;

/// Authenticates messages by HMAC (RFC 2104) with BLAKE2b-256, truncated to 128 bits.
class qt_message_authenticator : public message_authenticator {
  public:
    /// @throws configuration_error `invalid_settings` when the key has fewer than
    ///         `min_shared_key_size` bytes
    explicit qt_message_authenticator(const bytes& shared_key);

    authentication_tag sign(std::string_view context, std::string_view message) const override;

  private:
    QByteArray key_;
};

} // namespace papayafall
