#include "papayafall/core/state/slot_demand.hpp"

#include <algorithm>
#include <cmath>

namespace papayafall {

namespace {

/// Time constant of the exponential smoothing of the samples.
constexpr duration smoothing_time = std::chrono::milliseconds(300);
/// Time in which a peak decays to 1/e.
constexpr duration peak_decay_time = std::chrono::seconds(120);

/// Returns the factor of an exponential decay to 1/e in `time_constant` after `elapsed`.
float decay_factor(duration elapsed, duration time_constant)
{
    return std::exp(-static_cast<float>(elapsed.count()) /
                    static_cast<float>(time_constant.count()));
}

} // namespace

slot_demand slot_demand::with_sample(std::uint32_t slots, time_point now) const
{
    const duration elapsed = now - sampled_at_;
    const float previous_weight = decay_factor(elapsed, smoothing_time);
    slot_demand after;
    after.sampled_at_ = now;
    after.smoothed_slots_ =
        smoothed_slots_ * previous_weight + static_cast<float>(slots) * (1 - previous_weight);
    after.peak_ = std::max(after.smoothed_slots_, peak_ * decay_factor(elapsed, peak_decay_time));
    return after;
}

std::uint32_t slot_demand::slots_to_reserve() const
{
    return static_cast<std::uint32_t>(std::ceil(peak_ + std::sqrt(peak_)));
}

} // namespace papayafall
