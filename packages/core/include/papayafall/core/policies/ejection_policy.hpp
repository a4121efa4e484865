#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Decides whether a target gets no work for a while because of how it does what it gets.
class ejection_policy : public policy {
  public:
    /// Whether `target`, whose state includes its last outcome, is to be ejected now; the sums
    /// over the zone on the blackboard do not include that outcome yet.
    virtual bool should_eject(const target_state& target, const blackboard& board,
                              const clock_reading& now) const = 0;

    /// Instant of the next probe of `target`, which is about to be ejected.
    virtual time_point next_probe_at(const target_state& target,
                                     const clock_reading& now) const = 0;
};

/// Baseline: no target is ever ejected.
class no_ejection final : public ejection_policy {
  public:
    bool should_eject(const target_state& target, const blackboard& board,
                      const clock_reading& now) const override;
    time_point next_probe_at(const target_state& target, const clock_reading& now) const override;
};

/// Main: compares the target's failures and speed with those of its zone; never ejects more than
/// a share of the zone's targets.
class zone_outlier_ejection final : public ejection_policy {
  public:
    explicit zone_outlier_ejection(std::uint32_t max_ejected_permille = 300);

    bool should_eject(const target_state& target, const blackboard& board,
                      const clock_reading& now) const override;
    time_point next_probe_at(const target_state& target, const clock_reading& now) const override;

  private:
    std::uint32_t max_ejected_permille_;
};

} // namespace papayafall
