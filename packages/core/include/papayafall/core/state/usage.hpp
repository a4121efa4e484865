#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Tokens for a limited rate: refilled with time, taken by each task.
struct token_bucket {
    /// Thousandths of a task that may still start.
    std::int64_t tokens = 0;
    time_point refilled_at{};

    /// Returns the bucket at `now`: filled by `rate` tasks a second, up to one second's worth.
    token_bucket refilled(std::uint32_t rate, time_point now) const;

    /// Returns the bucket without the tokens of `tasks`; they may become a debt.
    token_bucket with_taken(std::uint32_t tasks) const;

    /// Instant from which `tasks` may start, or all that the bucket holds where they are more.
    time_point ready_at(std::uint32_t tasks, std::uint32_t rate) const;

    auto operator<=>(const token_bucket&) const = default;
};

/// What this host has accepted for one service.
struct service_usage {
    std::uint32_t open_tasks = 0; ///< accepted and not finished
    token_bucket bucket;
    std::uint64_t spent_millionths = 0; ///< in the present budget window, in millionths
    time_point budget_window_end{};

    /// What is spent in the budget window that `now` lies in. Complexity: constant.
    std::uint64_t spent_at(time_point now) const noexcept
    {
        return now < budget_window_end ? spent_millionths : 0;
    }

    auto operator<=>(const service_usage&) const = default;
};

/// What this host has accepted for one team.
struct team_usage {
    std::uint32_t open_tasks = 0; ///< accepted and not finished
    token_bucket bucket;
    /// Virtual time at which the work accepted last starts: slot time over quota.
    duration virtual_start{};
    /// Virtual time at which the work accepted last ends.
    duration virtual_finish{};

    auto operator<=>(const team_usage&) const = default;
};

/// Accepted tasks of one submission that have not finished.
struct open_submission {
    service_name service;
    team_name team;
    std::uint32_t tasks = 0;

    auto operator<=>(const open_submission&) const = default;
};

} // namespace papayafall
