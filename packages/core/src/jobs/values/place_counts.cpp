#include "papayafall/core/jobs/values/place_counts.hpp"

#include <algorithm>

namespace papayafall::jobs {

namespace {

/// Upper bounds of the size classes, in thousandths of a core.
constexpr std::array<std::int64_t, place_class_count> class_bounds{
    1'000,  1'414,  2'000,  2'828,  4'000,  5'657,  8'000,   11'314,
    16'000, 22'627, 32'000, 45'255, 64'000, 90'510, 128'000, 181'019};

} // namespace

std::size_t place_class_of(std::int64_t cpu_millis) noexcept
{
    const auto found = std::lower_bound(class_bounds.begin(), class_bounds.end(), cpu_millis);
    const auto position = static_cast<std::size_t>(found - class_bounds.begin());
    return std::min(position, place_class_count - 1);
}

std::int64_t largest_demand_of(std::size_t place_class) noexcept
{
    return class_bounds[place_class];
}

place_counts place_counts::operator+(const place_counts& it) const noexcept
{
    place_counts sum = *this;
    for (std::size_t n = 0; n < place_class_count; ++n) {
        sum.free.at(n) += it.free.at(n);
    }
    return sum;
}

} // namespace papayafall::jobs
