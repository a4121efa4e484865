#pragma once

#include <compare>
#include <cstdint>

namespace papayafall::jobs {

/// What a task needs, or what a worker has.
struct resources {
    std::int64_t cpu_millis = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const resources&) const = default;

    /// Whether this need can be met out of `room`.
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
