#pragma once

#include "papayafall/core/policies/ejection_policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

namespace papayafall {

class blackboard;

// Stage transitions of a target, as pure functions that return the new state.

/// Returns `target` in the careful stage, with a quarter of its slots usable at first. Applies to
/// targets that are new, were just taken over from another host, or recovered.
target_state as_careful(const target_state& target, const clock_reading& now);

/// Returns a careful target with twice the usable slots, or as healthy once all slots are usable.
target_state as_ramped_up(const target_state& target, const clock_reading& now);

/// Returns `target` as ejected: it gets no work until `probe_at`.
target_state as_ejected(const target_state& target, time_point probe_at);

/// Returns `target` as probing: it gets one task at a time until one succeeds.
target_state as_probing(const target_state& target);

/// Returns `target` as leaving: it gets no new work, for at least as long as an outdated host list
/// may still contain it.
target_state as_leaving(const target_state& target, const clock_reading& now);

/// Returns `target` after it ran a task.
/// @param relative_run_time actual run time in thousandths of the expected run time
target_state after_success(const target_state& target, std::uint32_t relative_run_time,
                           const clock_reading& now);

/// Returns `target` after it failed a task.
target_state after_failure(const target_state& target);

/// Returns `target` after it rejected a task because all its slots were in use: half of the usable
/// slots, at least one. Only healthy and careful targets change.
target_state after_busy(const target_state& target, const clock_reading& now);

/// Returns `target` in the stage that follows when its `stage_ends_at` has passed.
target_state after_stage_end(const target_state& target, const clock_reading& now);

} // namespace papayafall
