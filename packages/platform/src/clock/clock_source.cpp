#include "papayafall/platform/clock/clock_source.hpp"

#include <chrono>

namespace papayafall {

clock_reading system_clock_source::read() const
{
    using namespace std::chrono;
    const auto steady = steady_clock::now().time_since_epoch();
    const auto wall = system_clock::now();
    return {time_point(duration_cast<duration>(steady)), floor<milliseconds>(wall)};
}

} // namespace papayafall
