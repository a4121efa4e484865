#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace papayafall::jobs {

/// Ratio of processor time from which a host counts as stronger than another.
inline constexpr std::int64_t stronger_host_cpu_ratio = 2;

/// A host that may claim cells. Hosts with more processor time come first; a hash breaks ties.
struct claimant {
    std::int64_t cpu_millis = 0;
    std::uint64_t tie_break_hash = 0;
    host_name host;

    auto operator<=>(const claimant&) const = default;
};

/// Order in which hosts claim the cells of a zone.
struct zone_claim_order {
    std::vector<claimant> claimants; ///< in the order in which they claim
    std::size_t sharing_count = 1;   ///< number of first claimants that share the cells
    std::size_t wanted_count = 1;    ///< as `sharing_count`, if enough hosts were known
    bool has_hosts_in_zone = false;  ///< the zone has hosts, and this host is in another zone

    auto operator<=>(const zone_claim_order&) const = default;

    const host_name& preferred_holder(std::uint32_t cell) const
    {
        return claimants[cell % sharing_count].host;
    }

    /// Whether the cell is meant for a host that is not known yet.
    bool is_spare(std::uint32_t cell) const
    {
        return claimants.size() < wanted_count && cell % wanted_count >= claimants.size();
    }

    /// Number of hosts that claim a cell before `host` does.
    std::size_t claim_position(const host_name& host, std::uint32_t cell) const;
};

/// Order for a zone, as this host knows hosts and workers. Hosts of another zone claim only among
/// themselves, and hosts that are leaving do not claim.
/// Complexity: linear in workers and hosts, times the logarithm of the hosts.
zone_claim_order make_claim_order(const job_board& board, const zone_name& zone);

} // namespace papayafall::jobs
