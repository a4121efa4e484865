#pragma once

#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <optional>

namespace papayafall {

/// How the revision in force came into force on this host.
struct applied_change {
    wall_time applied_at{};        ///< when, by this host's wall clock
    revision_id previous_revision; ///< the revision in force before; 0 where there was none
    /// Empty where the revision was read from a snapshot, which names no plan.
    std::optional<change_origin> origin;

    auto operator<=>(const applied_change&) const = default;
};

} // namespace papayafall
