#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Expected run time from which work counts as long.
inline constexpr duration long_work_threshold = std::chrono::seconds(2);

/// Whether work that is expected to run for `expected_run_time` counts as long from its start.
constexpr bool is_long(duration expected_run_time) noexcept
{
    return expected_run_time >= long_work_threshold;
}

/// Decides how the usable slots of this host are shared by short and long work.
class slot_policy : public policy {
  public:
    /// Whether `work` may take one more of the free slots now. Where the head of a lane may not
    /// start, the rest of its lane may not either: continue with the next lane.
    virtual bool may_start(const queued_work& work, const blackboard& board,
                           const clock_reading& now) const = 0;

    /// Instant from which an exchange counts as long: `started_at` where it does so at once,
    /// `no_deadline` where it never does.
    virtual time_point counts_as_long_from(duration expected_run_time,
                                           time_point started_at) const = 0;
};

/// Baseline: any work takes any slot.
class unrestricted_slots final : public slot_policy {
  public:
    bool may_start(const queued_work& work, const blackboard& board,
                   const clock_reading& now) const override;
    time_point counts_as_long_from(duration expected_run_time,
                                   time_point started_at) const override;
};

/// Holds long work to a share of the usable slots, and within it to the slots that short work did
/// not need at its last crests; keeps a smaller share for long work while it waits.
class long_work_share final : public slot_policy {
  public:
    /// @param most_permille   largest share of the usable slots that long work holds
    /// @param least_permille  share that short work leaves to waiting long work
    explicit long_work_share(std::uint32_t max_permille = 500, std::uint32_t min_permille = 100);

    bool may_start(const queued_work& work, const blackboard& board,
                   const clock_reading& now) const override;
    time_point counts_as_long_from(duration expected_run_time,
                                   time_point started_at) const override;

  private:
    /// Slots that long work may hold now.
    std::uint32_t max_long_slots(const blackboard& board) const;

    std::uint32_t max_permille_;
    std::uint32_t min_permille_;
};

} // namespace papayafall
