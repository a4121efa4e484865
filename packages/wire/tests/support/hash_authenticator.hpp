#pragma once

#include "papayafall/wire/peer/message_authenticator.hpp"

#include <xxhash.h>

#include <cstdint>
#include <cstring>
#include <string>

namespace papayafall {

/// Authenticator for tests: a seeded hash that is fast but not cryptographically secure.
class hash_authenticator : public message_authenticator {
  public:
    explicit hash_authenticator(std::uint64_t key) : key_(key) {}

    authentication_tag sign(std::string_view context, std::string_view message) const override
    {
        const std::string content = std::string(context).append(message);
        const XXH128_hash_t hash = XXH3_128bits_withSeed(content.data(), content.size(), key_);
        authentication_tag tag{};
        std::memcpy(tag.data(), &hash, tag.size());
        return tag;
    }

  private:
    std::uint64_t key_;
};

} // namespace papayafall
