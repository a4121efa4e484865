#pragma once

#include <cstdint>
#include <string_view>

namespace papayafall {

/// Returns a 64-bit hash of `text` that is the same in every process and version.
///
/// FNV-1a followed by the finalizer of MurmurHash3, which spreads short, similar names. The hash
/// decides which host of a zone serves what. It is not cryptographic and must not be used to
/// authenticate messages.
/// Complexity: linear in the length of `text`.
constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) noexcept
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = offset_basis ^ seed;
    for (const char it : text) {
        hash ^= static_cast<unsigned char>(it);
        hash *= prime;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace papayafall
