#include "papayafall/core/state/retry_budget.hpp"

#include <algorithm>

namespace papayafall {

namespace {

// in hundredths of a retry: ten first attempts earn one retry, and at most 100 are saved up
constexpr std::uint32_t retry_cost = 100;
constexpr std::uint32_t first_attempt_credit = 10;
constexpr std::uint32_t max_balance = 100 * retry_cost;

} // namespace

retry_budget retry_budget::with_first_attempt() const
{
    retry_budget after = *this;
    after.balance_hundredths_ = std::min(balance_hundredths_ + first_attempt_credit, max_balance);
    return after;
}

retry_budget retry_budget::with_retry() const
{
    retry_budget after = *this;
    after.balance_hundredths_ -= std::min(balance_hundredths_, retry_cost);
    return after;
}

bool retry_budget::allows_retry() const noexcept
{
    return balance_hundredths_ >= retry_cost;
}

} // namespace papayafall
