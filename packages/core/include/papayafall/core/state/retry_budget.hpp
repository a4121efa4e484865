#pragma once

#include <compare>
#include <cstdint>

namespace papayafall {

/// Retries that the traffic has earned: a share of the first attempts, up to a bound.
class retry_budget {
  public:
    /// Returns the budget after a first attempt was started.
    retry_budget with_first_attempt() const;

    /// Returns the budget after a retry was queued.
    retry_budget with_retry() const;

    /// Whether one more retry is covered.
    bool allows_retry() const noexcept;

    friend auto operator<=>(const retry_budget&, const retry_budget&) = default;

  private:
    /// Hundredths of a retry.
    std::uint32_t balance_hundredths_ = 1000;
};

} // namespace papayafall
