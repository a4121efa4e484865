#pragma once

#include "papayafall/core/values/time.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// How many slots short work needed lately, at its crest.
class slot_demand {
  public:
    /// Returns the demand after a look at the slots that short work uses and waits for.
    slot_demand with_sample(std::uint32_t slots, time_point now) const;

    /// Instant from which the next look changes something.
    time_point next_sample_at() const noexcept { return sampled_at_ + sample_period; }

    /// Slots to keep for short work: the smoothed crest and room for the scatter around it.
    std::uint32_t slots_to_reserve() const;

    friend auto operator<=>(const slot_demand&, const slot_demand&) = default;

    static constexpr duration sample_period = std::chrono::milliseconds(10);

  private:
    time_point sampled_at_{};
    float smoothed_slots_ = 0;
    float peak_ = 0;
};

} // namespace papayafall
