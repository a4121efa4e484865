#pragma once

#include "papayafall/core/values/identifiers.hpp"
#include "papayafall/core/values/time.hpp"

#include <compare>
#include <cstdint>

namespace papayafall {

/// Token bucket of a rate limit. Its capacity is one second's worth of tokens.
struct token_bucket {
    /// Content of the bucket; negative after more tokens were taken than it held.
    std::int64_t millitokens = 0;
    time_point refilled_at{};

    /// Returns the bucket refilled up to `now` at `rate` tokens per second.
    token_bucket refilled(std::uint32_t rate, time_point now) const;

    /// Returns the bucket with one token taken for each of `tasks`, even if it holds fewer.
    token_bucket with_taken(std::uint32_t tasks) const;

    /// Returns the instant from which the bucket holds the tokens for `tasks`, or is full if they
    /// exceed its capacity.
    time_point ready_at(std::uint32_t tasks, std::uint32_t rate) const;

    auto operator<=>(const token_bucket&) const = default;
};

/// What this host has accepted for one service.
struct service_usage {
    std::uint32_t open_tasks = 0; ///< accepted and not finished
    token_bucket bucket;          ///< of `service_configuration::rate_limit`
    /// Spent in the current budget window, in millionths of the operators' currency.
    std::uint64_t spent_millionths = 0;
    time_point budget_window_end{};

    /// Returns what is spent in the budget window that contains `now`, in millionths.
    std::uint64_t spent_at(time_point now) const noexcept
    {
        return now < budget_window_end ? spent_millionths : 0;
    }

    auto operator<=>(const service_usage&) const = default;
};

/// What this host has accepted for one team.
struct team_usage {
    std::uint32_t open_tasks = 0; ///< accepted and not finished
    token_bucket bucket;          ///< of `team_configuration::rate_limit`
    /// Start of the last accepted work in virtual time, that is, slot time divided by the quota.
    duration virtual_start{};
    /// End of the last accepted work in virtual time.
    duration virtual_finish{};

    auto operator<=>(const team_usage&) const = default;
};

/// The tasks of one accepted submission that have not finished.
struct open_submission {
    service_name service;
    team_name team;
    std::uint32_t tasks = 0;

    auto operator<=>(const open_submission&) const = default;
};

} // namespace papayafall
