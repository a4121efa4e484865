#include "papayafall/core/policies/rendezvous_hash.hpp"

namespace papayafall {

namespace {

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325;
constexpr std::uint64_t fnv_prime = 0x100000001b3;

/// FNV-1a changes the high bits little for the last characters; this spreads them over all bits.
std::uint64_t mix(std::uint64_t hash) noexcept
{
    hash ^= hash >> 30U;
    hash *= 0xbf58476d1ce4e5b9;
    hash ^= hash >> 27U;
    hash *= 0x94d049bb133111eb;
    return hash ^ (hash >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view text) noexcept
{
    std::uint64_t hash = fnv_offset;
    for (const char it : text) {
        hash ^= static_cast<unsigned char>(it);
        hash *= fnv_prime;
    }
    return mix(hash);
}

std::uint64_t rendezvous_weight(const host_name& host, const target_name& target)
{
    return mix(stable_hash(host.text()) + fnv_prime * stable_hash(target.text()));
}

const host_name* rendezvous_owner(const std::vector<host_name>& hosts, const target_name& target)
{
    const host_name* owner = nullptr;
    std::uint64_t highest = 0;
    for (const host_name& it : hosts) {
        const std::uint64_t weight = rendezvous_weight(it, target);
        if (owner != nullptr && weight <= highest) {
            continue;
        }
        owner = &it;
        highest = weight;
    }
    return owner;
}

} // namespace papayafall
