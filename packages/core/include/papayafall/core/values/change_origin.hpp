#pragma once

#include "papayafall/core/values/identifiers.hpp"

#include <compare>

namespace papayafall {

/// The plan from which a configuration revision results, and the operator who confirmed it.
struct change_origin {
    plan_id plan;
    operator_name author;

    auto operator<=>(const change_origin&) const = default;
};

} // namespace papayafall
