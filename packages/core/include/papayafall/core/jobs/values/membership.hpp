#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/host.hpp"

#include <cstdint>

namespace papayafall::jobs {

/// One life of an entry host, as the platform's store lists it.
struct host_entry {
    host_name host;
    zone_name zone;
    incarnation_id incarnation;
    endpoint link; ///< where it accepts peers (TCP)
    bool leaving = false;
    std::int64_t cpu_millis = 0; ///< thousandths of a core that it may use; 0 is not known

    auto operator<=>(const host_entry&) const = default;
};

/// Who may order the workers of a cell. The revision under which the store keeps the claim is the
/// fencing token of its holder.
struct cell_claim {
    host_name holder;
    incarnation_id incarnation;
    store_revision revision;

    auto operator<=>(const cell_claim&) const = default;
};

/// What a dispatcher tells the hosts that may delegate to it.
struct load_report {
    bool accepting = false; ///< it holds workers and takes jobs
    std::int64_t free_cpu_millis = 0;
    std::int64_t total_cpu_millis = 0;
    duration predicted_wait{}; ///< predicted time until a new task is started

    auto operator<=>(const load_report&) const = default;
};

} // namespace papayafall::jobs
