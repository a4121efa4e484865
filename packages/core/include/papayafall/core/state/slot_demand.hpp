#pragma once

#include "papayafall/core/values/time.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// How many slots short work needed lately, at its crest.
class slot_demand {
  public:
    /// Returns the demand after a look at the slots that short work uses and waits for.
    slot_demand observed(std::uint32_t slots, time_point now) const;

    /// Instant from which the next look changes something.
    time_point next_look() const noexcept { return looked_at_ + look_period; }

    /// Slots to keep for short work: the smoothed crest and room for the scatter around it.
    std::uint32_t slots_to_keep() const;

    friend auto operator<=>(const slot_demand&, const slot_demand&) = default;

    static constexpr duration look_period = std::chrono::milliseconds(10);

  private:
    time_point looked_at_{};
    float smoothed_ = 0;
    float crest_ = 0;
};

} // namespace papayafall
