#pragma once

#include "papayafall/core/policies/policy.hpp"
#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/clock_reading.hpp"

#include <cstdint>

namespace papayafall {

class blackboard;

/// Work that runs for at least this time counts as long.
inline constexpr duration long_work_threshold = std::chrono::seconds(2);

/// Returns whether work with this expected run time counts as long from its start.
constexpr bool is_long(duration expected_run_time) noexcept
{
    return expected_run_time >= long_work_threshold;
}

/// Decides how short and long work share the usable slots of this host.
class slot_policy : public policy {
  public:
    /// Returns whether `work` may take one of the free slots now. If the first task of a lane may
    /// not start, no other task of that lane may, and the caller goes on to the next lane.
    virtual bool may_start(const queued_work& work, const blackboard& board,
                           const clock_reading& now) const = 0;

    /// Returns the instant from which an exchange counts as long work: `started_at` if it does so
    /// from the start, `no_deadline` if it never does.
    virtual time_point counts_as_long_from(duration expected_run_time,
                                           time_point started_at) const = 0;
};

/// Lets any work take any slot. Baseline for comparisons.
class unrestricted_slots final : public slot_policy {
  public:
    bool may_start(const queued_work& work, const blackboard& board,
                   const clock_reading& now) const override;
    time_point counts_as_long_from(duration expected_run_time,
                                   time_point started_at) const override;
};

/// Limits long work to a share of the usable slots, and within that share to the slots that short
/// work did not need at its recent peaks. Reserves a smaller share for long work that waits. Used
/// by default.
class long_work_share final : public slot_policy {
  public:
    /// @param max_permille  largest share of the usable slots that long work may occupy
    /// @param min_permille  share that is reserved for long work while some waits
    explicit long_work_share(std::uint32_t max_permille = 500, std::uint32_t min_permille = 100);

    bool may_start(const queued_work& work, const blackboard& board,
                   const clock_reading& now) const override;
    time_point counts_as_long_from(duration expected_run_time,
                                   time_point started_at) const override;

  private:
    /// Returns the number of slots that long work may occupy now.
    std::uint32_t max_long_slots(const blackboard& board) const;

    std::uint32_t max_permille_;
    std::uint32_t min_permille_;
};

} // namespace papayafall
