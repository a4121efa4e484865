#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/target_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Decides whether a target is ejected, that is, gets no work for a while because it fails too
/// often or runs too slowly.
class ejection_policy : public policy {
  public:
    /// Returns whether `target` is to be ejected now.
    /// @param target  state that includes the latest outcome; `blackboard::targets` and
    ///                `blackboard::target_health` do not include it yet
    virtual bool should_eject(const target_state& target, const blackboard& board,
                              const clock_reading& now) const = 0;

    /// Returns the instant of the next probe of `target`, which is about to be ejected.
    virtual time_point next_probe_at(const target_state& target,
                                     const clock_reading& now) const = 0;
};

/// Never ejects a target. Baseline for comparisons.
class no_ejection final : public ejection_policy {
  public:
    bool should_eject(const target_state& target, const blackboard& board,
                      const clock_reading& now) const override;
    time_point next_probe_at(const target_state& target, const clock_reading& now) const override;
};

/// Ejects outliers: targets that fail more often or run more slowly than the other targets of this
/// host in the zone. Limits the share of targets that are ejected at a time. Used by default.
class zone_outlier_ejection final : public ejection_policy {
  public:
    /// @param max_ejected_permille  largest share of this host's targets that may be ejected at a
    ///                              time; one target may always be
    explicit zone_outlier_ejection(std::uint32_t max_ejected_permille = 300);

    bool should_eject(const target_state& target, const blackboard& board,
                      const clock_reading& now) const override;
    time_point next_probe_at(const target_state& target, const clock_reading& now) const override;

  private:
    std::uint32_t max_ejected_permille_;
};

} // namespace papayafall
