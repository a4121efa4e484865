#pragma once

#include "papayafall/platform/operators/plan.hpp"

namespace papayafall {

/// Computes the identifier of a plan: a hash of the base revision and the intent.
plan_id make_plan_id(revision_id base, const intent_document& intent);

/// Computes the effect of `intent` on `base`. Equal arguments give equal plans.
/// @throws configuration_error if the resulting configuration is invalid
/// @throws seat_layout_error if the intent changes an existing seat layout
plan make_plan(const configuration& base, const intent_document& intent,
               const plan_observations& observations);

} // namespace papayafall
