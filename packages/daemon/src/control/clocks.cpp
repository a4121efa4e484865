#include "papayafall/daemon/control/clocks.hpp"

namespace papayafall {

clock_reading read_clocks()
{
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now();
    return clock_reading{
        .steady = time_point(std::chrono::duration_cast<duration>(steady)),
        .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(wall),
    };
}

} // namespace papayafall
