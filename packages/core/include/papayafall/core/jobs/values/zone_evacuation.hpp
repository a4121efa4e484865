#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"

namespace papayafall::jobs {

/// Request of the operators that nothing more be started on the workers of a zone, or its end.
struct zone_evacuation {
    zone_name zone;
    store_revision revision; ///< of the request in the store; its end keeps the revision
    bool ended = false;      ///< the request was removed from the store

    auto operator<=>(const zone_evacuation&) const = default;

    /// Whether this came after `other`, a request for the same zone.
    bool supersedes(const zone_evacuation& other) const noexcept;
};

} // namespace papayafall::jobs
