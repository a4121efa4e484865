#include "zone_claim_order.hpp"

#include "papayafall/core/policies/rendezvous_hash.hpp"

#include <algorithm>
#include <functional>

namespace papayafall::jobs {

namespace {

/// Number of workers for each host that shares the cells of a zone.
constexpr std::ptrdiff_t workers_per_sharing_host = 64;

/// Number of hosts that the workers of a zone call for.
std::size_t count_wanted_hosts(const job_board& board, const zone_name& zone)
{
    const auto workers = std::count_if(board.workers.begin(), board.workers.end(),
                                       [&](const auto& it) { return (*it.value).zone == zone; });
    const auto wanted = (workers + workers_per_sharing_host - 1) / workers_per_sharing_host;
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, wanted));
}

/// Number of hosts that share the cells of a zone. Hosts that are much weaker than the first
/// claimant are left out.
/// @param wanted number of hosts that the workers call for
std::size_t count_sharing_hosts(std::size_t wanted, const std::vector<claimant>& claimants)
{
    const auto strong = std::count_if(claimants.begin(), claimants.end(), [&](const claimant& it) {
        return it.cpu_millis * stronger_host_cpu_ratio > claimants.front().cpu_millis;
    });
    return std::clamp<std::size_t>(static_cast<std::size_t>(strong), 1, wanted);
}

} // namespace

std::size_t zone_claim_order::claim_position(const host_name& host, std::uint32_t cell) const
{
    const auto found = std::find_if(claimants.begin(), claimants.end(),
                                    [&](const claimant& it) { return it.host == host; });
    const auto rank = static_cast<std::size_t>(found - claimants.begin());
    return rank < sharing_count ? (rank + sharing_count - cell % sharing_count) % sharing_count
                                : rank;
}

zone_claim_order make_claim_order(const job_board& board, const zone_name& zone)
{
    const bool own_zone = zone == board.self.zone;
    zone_claim_order order;
    const auto add = [&](const host_name& host, std::int64_t cpu_millis) {
        order.claimants.push_back({cpu_millis, rendezvous_weight(host, zone.text()), host});
    };
    add(board.self.host, board.self.cpu_millis);
    for (const auto& it : board.hosts) {
        const host_entry& entry = it.value;
        if (entry.host == board.self.host || entry.leaving) {
            continue;
        }
        if ((entry.zone == zone) == own_zone) {
            add(entry.host, entry.cpu_millis);
        } else if (!own_zone) {
            order.has_hosts_in_zone = true;
        }
    }
    std::sort(order.claimants.begin(), order.claimants.end(), std::greater<>());
    order.wanted_count = count_wanted_hosts(board, zone);
    order.sharing_count = count_sharing_hosts(order.wanted_count, order.claimants);
    return order;
}

} // namespace papayafall::jobs
