#pragma once

#include "papayafall/platform/operators/plan.hpp"

namespace papayafall {

/// Identity of a plan: a hash of the base revision and the intent.
plan_id make_plan_id(revision_id base, const intent_document& intent);

/// Works out what `intent` changes in `base`. The same arguments give the same plan.
/// @throws configuration_error when the result is not valid
/// @throws seat_layout_error when the intent changes an existing layout of seats
plan make_plan(const configuration& base, const intent_document& intent,
               const plan_observations& observations);

} // namespace papayafall
