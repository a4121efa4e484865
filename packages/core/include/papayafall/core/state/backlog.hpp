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

/// Waiting tasks of one class that have to start at about the same time.
struct backlog_rank {
    std::uint8_t lane = 0;
    std::uint8_t urgency = 0;
    time_point start_by = no_deadline; ///< rounded down to `start_step`

    static constexpr duration start_step = std::chrono::milliseconds(50);

    auto operator<=>(const backlog_rank&) const = default;
};

/// Tasks that wait in one class of the queue.
struct class_backlog {
    std::uint32_t tasks = 0;
    /// Sum of the expected run times.
    duration work{};

    auto operator<=>(const class_backlog&) const = default;
};

/// Sums over the queue by lane and urgency.
class backlog {
  public:
    /// Returns the backlog with `work` added at `rank`.
    backlog with_added(const queue_rank& rank, const queued_work& work) const;

    /// Returns the backlog without `work`, which was added at `rank`.
    backlog with_removed(const queue_rank& rank, const queued_work& work) const;

    /// Run time that waits in `lane` before `urgency`.
    duration work_before(std::uint8_t lane, std::uint8_t urgency) const;

    /// Tasks that wait in `lane`.
    std::uint32_t tasks(std::uint8_t lane) const;

    friend auto operator<=>(const backlog&, const backlog&) = default;

  private:
    static std::size_t class_of(const queue_rank& rank);

    std::array<class_backlog, lane_count * urgency_count> classes_{};
};

/// Part of the backlog that `work`, which waits at `rank`, belongs to.
backlog_rank backlog_rank_of(const queue_rank& rank, const queued_work& work);

} // namespace papayafall
