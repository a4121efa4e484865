#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/jobs/values/place_counts.hpp"
#include "papayafall/core/values/host.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// One incarnation of an entry host, as listed in the platform's store.
struct host_entry {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint link;               ///< TCP endpoint that accepts connections from other entry hosts
    bool leaving = false;        ///< shutting down gracefully
    std::int64_t cpu_millis = 0; ///< CPU limit of the host, in thousandths of a core; 0: unknown

    auto operator<=>(const host_entry&) const = default;
};

/// Claim of a host to control the workers of a cell. The revision of the claim in the store is the
/// fencing token of its holder.
struct cell_claim {
    host_name holder;
    incarnation_id incarnation;
    store_revision revision;

    auto operator<=>(const cell_claim&) const = default;
};

/// Load of a dispatcher, published to the hosts that may delegate jobs to it.
struct load_report {
    bool accepting = false;            ///< has workers and accepts jobs
    std::int64_t free_cpu_millis = 0;  ///< of its workers, in thousandths of a core
    std::int64_t total_cpu_millis = 0; ///< of its workers, in thousandths of a core
    duration predicted_wait{};         ///< expected time until a newly queued task starts
    place_counts places;               ///< of its workers, by size class of the tasks

    auto operator<=>(const load_report&) const = default;
};

} // namespace papayafall::jobs
