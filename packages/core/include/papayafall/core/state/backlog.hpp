#pragma once

#include "papayafall/core/state/queue_state.hpp"
#include "papayafall/core/values/request.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace papayafall {

/// Number of lanes of the queue: short and long work.
inline constexpr std::size_t lane_count = 2;
/// Number of urgency levels.
inline constexpr std::size_t urgency_count = 3;

/// Identifies the waiting tasks of one lane and urgency that have to start at about the same time.
struct backlog_rank {
    std::uint8_t lane = 0;
    std::uint8_t urgency = 0;
    time_point start_by = no_deadline; ///< rounded down to `start_step`

    static constexpr duration start_step = std::chrono::milliseconds(50);

    auto operator<=>(const backlog_rank&) const = default;
};

/// Sums over the waiting tasks of one class of the queue: one lane and urgency.
struct class_backlog {
    std::uint32_t tasks = 0;
    /// Sum of the expected run times.
    duration work{};

    auto operator<=>(const class_backlog&) const = default;
};

/// Sums over the waiting tasks, by lane and urgency.
class backlog {
  public:
    /// Returns the backlog with `work` added at `rank`.
    backlog with_added(const queue_rank& rank, const queued_work& work) const;

    /// Returns the backlog without `work`, which was added at `rank`.
    /// @throws invariant_error if no task of that class was added
    backlog with_removed(const queue_rank& rank, const queued_work& work) const;

    /// Returns the expected run time of the tasks in `lane` that are more urgent than `urgency`.
    duration work_before(std::uint8_t lane, std::uint8_t urgency) const;

    /// Returns the number of tasks that wait in `lane`.
    std::uint32_t tasks(std::uint8_t lane) const;

    friend auto operator<=>(const backlog&, const backlog&) = default;

  private:
    static std::size_t class_of(const queue_rank& rank);

    std::array<class_backlog, lane_count * urgency_count> classes_{};
};

/// Returns the part of the backlog to which `work`, queued at `rank`, belongs.
backlog_rank backlog_rank_of(const queue_rank& rank, const queued_work& work);

} // namespace papayafall
