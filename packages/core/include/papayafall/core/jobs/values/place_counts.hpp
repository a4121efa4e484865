#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace papayafall::jobs {

/// Number of size classes of tasks.
inline constexpr std::size_t place_class_count = 16;

/// Size class of a task by its CPU demand. The bounds of the classes grow by a factor of the square
/// root of two, from one core on; the last class has no upper bound.
std::size_t place_class_of(std::int64_t cpu_millis) noexcept;

/// Largest CPU demand of a size class, in thousandths of a core.
/// @pre `place_class` is less than `place_class_count`
std::int64_t largest_demand_of(std::size_t place_class) noexcept;

/// Number of tasks of each size class that could start now, if all were of that class. It tells
/// more than a sum of free cores, which may lie in pieces too small for any task.
struct place_counts {
    std::array<std::uint32_t, place_class_count> free{};

    auto operator<=>(const place_counts&) const = default;

    place_counts operator+(const place_counts& it) const noexcept;
};

} // namespace papayafall::jobs
