#include "papayafall/core/policies/rendezvous_hash.hpp"

#include "papayafall/core/values/stable_hash.hpp"

namespace papayafall {

std::uint64_t rendezvous_weight(const host_name& host, std::string_view item) noexcept
{
    return stable_hash(host.text(), stable_hash(item));
}

const host_name* rendezvous_owner(const std::vector<host_name>& hosts, std::string_view item)
{
    const host_name* owner = nullptr;
    std::uint64_t highest = 0;
    for (const host_name& it : hosts) {
        const std::uint64_t weight = rendezvous_weight(it, item);
        if (owner != nullptr && weight <= highest) {
            continue;
        }
        owner = &it;
        highest = weight;
    }
    return owner;
}

} // namespace papayafall
