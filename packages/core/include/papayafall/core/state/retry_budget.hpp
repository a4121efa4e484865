#pragma once

#include <compare>
#include <cstdint>

namespace papayafall {

/// Limits retries to a share of the traffic: each first attempt adds a part of a retry to the
/// balance, up to a maximum, and each retry takes one from it.
class retry_budget {
  public:
    /// Returns the budget after the start of a task's first attempt.
    retry_budget with_first_attempt() const;

    /// Returns the budget after a retry was queued; the balance does not fall below zero.
    retry_budget with_retry() const;

    /// Returns whether the balance allows one more retry.
    bool allows_retry() const noexcept;

    friend auto operator<=>(const retry_budget&, const retry_budget&) = default;

  private:
    /// Balance in hundredths of a retry.
    std::uint32_t balance_hundredths_ = 1000;
};

} // namespace papayafall
