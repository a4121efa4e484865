#pragma once

#include "papayafall/core/policies/ejection_policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

namespace papayafall {

class blackboard;

// Changes of a target's stage, as functions of values.

/// A target that changed hands, came back or is new: a part of its slots for a while.
target_state as_careful(const target_state& target, const clock_reading& now);

/// The next step of a careful target: twice the slots, or healthy once all are in use.
target_state as_grown(const target_state& target, const clock_reading& now);

/// A target that gets no work until `probe_at`.
target_state as_ejected(const target_state& target, time_point probe_at);

/// A target that gets one task at a time until one succeeds.
target_state as_probing(const target_state& target);

/// A target that gets no new work any more, at least not while a lagging list may still name it.
target_state as_leaving(const target_state& target, const clock_reading& now);

/// The target after it ran a task; `relative_run_time` is in thousandths of what was expected.
target_state after_success(const target_state& target, std::uint32_t relative_run_time,
                           const clock_reading& now);

/// The target after an attempt that it failed.
target_state after_failure(const target_state& target);

/// The target after it refused a task because all its slots were taken.
target_state after_busy(const target_state& target, const clock_reading& now);

/// The target once the instant `stage_ends_at` has passed.
target_state after_stage(const target_state& target, const clock_reading& now);

} // namespace papayafall
