#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace papayafall::jobs {

/// CPU demands of the tasks of steps that arrived lately, as a sample of what will be asked for.
struct demand_sample {
    static constexpr std::size_t capacity = 16;

    std::array<std::int64_t, capacity> cpu_millis{}; ///< 0: not filled yet
    std::size_t next = 0;                            ///< position that is replaced next

    auto operator<=>(const demand_sample&) const = default;

    /// Returns the sample with the oldest demand replaced.
    demand_sample with(std::int64_t demand) const;
};

/// Mean part of `free`, in thousandths of a core, that stays unused if it is filled with equal
/// tasks of one of the sampled demands.
double unusable_cpu_millis(std::int64_t free, const demand_sample& demands);

} // namespace papayafall::jobs
