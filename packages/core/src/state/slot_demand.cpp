#include "papayafall/core/state/slot_demand.hpp"

#include <algorithm>
#include <cmath>

namespace papayafall {

namespace {

constexpr duration smoothing_time = std::chrono::milliseconds(300);
/// Time in which the memory of a crest falls to 1/e.
constexpr duration memory_time = std::chrono::seconds(120);

/// Share that is left after `passed` of something that falls to 1/e in `time`.
float left_after(duration passed, duration time)
{
    return std::exp(-static_cast<float>(passed.count()) / static_cast<float>(time.count()));
}

} // namespace

slot_demand slot_demand::observed(std::uint32_t slots, time_point now) const
{
    const duration passed = now - looked_at_;
    const float kept = left_after(passed, smoothing_time);
    slot_demand after;
    after.looked_at_ = now;
    after.smoothed_ = smoothed_ * kept + static_cast<float>(slots) * (1 - kept);
    after.crest_ = std::max(after.smoothed_, crest_ * left_after(passed, memory_time));
    return after;
}

std::uint32_t slot_demand::slots_to_keep() const
{
    return static_cast<std::uint32_t>(std::ceil(crest_ + std::sqrt(crest_)));
}

} // namespace papayafall
