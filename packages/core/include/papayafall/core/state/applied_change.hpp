#pragma once

#include "papayafall/core/values/change_origin.hpp"
#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <optional>

namespace papayafall {

/// How the configuration revision in force was applied on this host.
struct applied_change {
    wall_time applied_at{};        ///< by this host's wall clock
    revision_id previous_revision; ///< revision in force before; 0 if there was none
    /// Empty if the revision was read from a snapshot, which does not name the plan.
    std::optional<change_origin> origin;

    auto operator<=>(const applied_change&) const = default;
};

} // namespace papayafall
