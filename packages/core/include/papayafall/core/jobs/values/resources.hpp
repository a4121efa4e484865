#pragma once

#include <compare>
#include <cstdint>

namespace papayafall::jobs {

/// Amounts of resources: the demand of a task, or the capacity of a worker.
struct resources {
    std::int64_t cpu_millis = 0;   ///< thousandths of a core
    std::int64_t memory_mb = 0;    ///< megabytes
    std::int64_t accelerators = 0; ///< number of GPUs

    auto operator<=>(const resources&) const = default;

    /// Returns whether every amount is at most the one in `available`.
    constexpr bool fits(const resources& available) const noexcept
    {
        return cpu_millis <= available.cpu_millis && memory_mb <= available.memory_mb &&
               accelerators <= available.accelerators;
    }

    constexpr resources operator+(const resources& it) const noexcept
    {
        return {cpu_millis + it.cpu_millis, memory_mb + it.memory_mb,
                accelerators + it.accelerators};
    }

    constexpr resources operator-(const resources& it) const noexcept
    {
        return {cpu_millis - it.cpu_millis, memory_mb - it.memory_mb,
                accelerators - it.accelerators};
    }
};

} // namespace papayafall::jobs
