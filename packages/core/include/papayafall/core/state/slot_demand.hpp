#pragma once

#include "papayafall/core/values/time.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Recent peak of the number of slots that short work needed.
class slot_demand {
  public:
    /// Returns the demand with one more sample.
    /// @param slots  slots that short work uses and waits for at `now`
    slot_demand with_sample(std::uint32_t slots, time_point now) const;

    /// Returns the instant at which the next sample is due.
    time_point next_sample_at() const noexcept { return sampled_at_ + sample_period; }

    /// Returns the number of slots to reserve for short work: the peak of the smoothed demand plus
    /// a margin for the variation around it.
    std::uint32_t slots_to_reserve() const;

    friend auto operator<=>(const slot_demand&, const slot_demand&) = default;

    static constexpr duration sample_period = std::chrono::milliseconds(10);

  private:
    time_point sampled_at_{};
    float smoothed_slots_ = 0;
    float peak_ = 0; ///< of `smoothed_slots_`; decays with time
};

} // namespace papayafall
