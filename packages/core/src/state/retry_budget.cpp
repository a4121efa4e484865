#include "papayafall/core/state/retry_budget.hpp"

#include <algorithm>

namespace papayafall {

namespace {

// in hundredths of a retry
constexpr std::uint32_t price_of_retry = 100;
constexpr std::uint32_t earned_by_first_attempt = 10;
constexpr std::uint32_t most_balance = 100 * price_of_retry;

} // namespace

retry_budget retry_budget::with_first_attempt() const
{
    retry_budget after = *this;
    after.balance_ = std::min(balance_ + earned_by_first_attempt, most_balance);
    return after;
}

retry_budget retry_budget::with_retry() const
{
    retry_budget after = *this;
    after.balance_ -= std::min(balance_, price_of_retry);
    return after;
}

bool retry_budget::covers_retry() const noexcept
{
    return balance_ >= price_of_retry;
}

} // namespace papayafall
