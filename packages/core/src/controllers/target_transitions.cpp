#include "papayafall/core/controllers/target_transitions.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint32_t careful_slot_divisor = 4; ///< a quarter of the slots is usable at first
/// Time between two increases of the usable slots of a careful target.
constexpr duration careful_step_period = std::chrono::milliseconds(250);
/// Time after which a leaving target is probed if the host list still contains it and no longer
/// marks it as leaving. Covers the time for which the list may be outdated.
constexpr duration leaving_hold_period = std::chrono::seconds(60);
/// Number of outcomes at which the counts are halved, so that recent outcomes weigh more.
constexpr std::uint64_t max_recent_outcomes = 100;
/// Reciprocal of the weight of a new run time in the moving average.
constexpr std::uint32_t smoothing_divisor = 16;
/// Bound on a single relative run time, so that one outlier does not dominate the average.
constexpr std::uint32_t max_relative_run_time_permille = 16000;

std::uint32_t smoothed(std::uint32_t before, std::uint32_t observed)
{
    const std::uint32_t bounded = std::min(observed, max_relative_run_time_permille);
    return (before * (smoothing_divisor - 1) + bounded) / smoothing_divisor;
}

void halve_outcomes(target_state_fields& it)
{
    if (it.successes + it.failures < max_recent_outcomes) {
        return;
    }
    it.successes /= 2;
    it.failures /= 2;
}

target_state with_stage(const target_state& target, target_stage stage, std::uint32_t usable,
                        time_point until)
{
    return target.with([&](target_state_fields& it) {
        it.stage = stage;
        it.usable_slots = usable;
        it.stage_ends_at = until;
    });
}

} // namespace

target_state as_careful(const target_state& target, const clock_reading& now)
{
    const std::uint32_t usable =
        std::max(target->entry.slots / careful_slot_divisor, std::uint32_t{1});
    return with_stage(target, target_stage::careful, usable, now.steady + careful_step_period);
}

target_state as_ramped_up(const target_state& target, const clock_reading& now)
{
    if (target->usable_slots < target->entry.slots) {
        const std::uint32_t usable = std::min(2 * target->usable_slots, target->entry.slots);
        return with_stage(target, target_stage::careful, usable, now.steady + careful_step_period);
    }
    return with_stage(target, target_stage::healthy, target->entry.slots, no_deadline)
        .with([](target_state_fields& it) { it.ejections = 0; });
}

target_state as_ejected(const target_state& target, time_point probe_at)
{
    return with_stage(target, target_stage::ejected, 0, probe_at).with([](target_state_fields& it) {
        ++it.ejections;
    });
}

target_state as_probing(const target_state& target)
{
    return with_stage(target, target_stage::probing, 1, no_deadline)
        .with([](target_state_fields& it) {
            it.successes = 0;
            it.failures = 0;
            it.consecutive_failures = 0;
        });
}

target_state as_leaving(const target_state& target, const clock_reading& now)
{
    return with_stage(target, target_stage::leaving, 0, now.steady + leaving_hold_period);
}

target_state after_success(const target_state& target, std::uint32_t relative_run_time,
                           const clock_reading& now)
{
    const target_state after = target.with([relative_run_time](target_state_fields& it) {
        ++it.successes;
        it.consecutive_failures = 0;
        it.relative_run_time_permille = smoothed(it.relative_run_time_permille, relative_run_time);
        halve_outcomes(it);
    });
    return target->stage == target_stage::probing ? as_careful(after, now) : after;
}

target_state after_failure(const target_state& target)
{
    return target.with([](target_state_fields& it) {
        ++it.failures;
        ++it.consecutive_failures;
        halve_outcomes(it);
    });
}

target_state after_busy(const target_state& target, const clock_reading& now)
{
    if (target->stage != target_stage::healthy && target->stage != target_stage::careful) {
        return target;
    }
    const std::uint32_t usable = std::max(target->usable_slots / 2, std::uint32_t{1});
    return with_stage(target, target_stage::careful, usable, now.steady + careful_step_period);
}

target_state after_stage_end(const target_state& target, const clock_reading& now)
{
    switch (target->stage) {
    case target_stage::careful:
        return as_ramped_up(target, now);
    case target_stage::ejected:
        return as_probing(target);
    case target_stage::leaving:
        if (target->entry.leaving || !target->listed) {
            return as_leaving(target, now);
        }
        return as_probing(
            target.with([](target_state_fields& it) { it.announced_leaving = false; }));
    case target_stage::healthy:
    case target_stage::probing:
        break;
    }
    return with_stage(target, target->stage, target->usable_slots, no_deadline);
}

} // namespace papayafall
