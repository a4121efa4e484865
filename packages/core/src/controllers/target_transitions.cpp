#include "papayafall/core/controllers/target_transitions.hpp"

#include <algorithm>

namespace papayafall {

namespace {

constexpr std::uint32_t careful_part = 4; ///< one slot in this many is used at first
constexpr duration careful_step = std::chrono::milliseconds(250);
constexpr duration leaving_hold = std::chrono::seconds(60);
constexpr std::uint64_t most_outcomes = 100;
constexpr std::uint32_t smoothing = 16;
constexpr std::uint32_t most_relative_run_time = 16000;

std::uint32_t smoothed(std::uint32_t before, std::uint32_t observed)
{
    const std::uint32_t bounded = std::min(observed, most_relative_run_time);
    return (before * (smoothing - 1) + bounded) / smoothing;
}

void halve_outcomes(target_state_fields& it)
{
    if (it.successes + it.failures < most_outcomes) {
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
    const std::uint32_t usable = std::max(target->entry.slots / careful_part, std::uint32_t{1});
    return with_stage(target, target_stage::careful, usable, now.steady + careful_step);
}

target_state as_grown(const target_state& target, const clock_reading& now)
{
    if (target->usable_slots < target->entry.slots) {
        const std::uint32_t usable = std::min(2 * target->usable_slots, target->entry.slots);
        return with_stage(target, target_stage::careful, usable, now.steady + careful_step);
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
    return with_stage(target, target_stage::leaving, 0, now.steady + leaving_hold);
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
    return with_stage(target, target_stage::careful, usable, now.steady + careful_step);
}

target_state after_stage(const target_state& target, const clock_reading& now)
{
    switch (target->stage) {
    case target_stage::careful:
        return as_grown(target, now);
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
