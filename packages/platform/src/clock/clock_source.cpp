#include "papayafall/platform/clock/clock_source.hpp"

#include <chrono>

namespace papayafall {

clock_reading system_clock_source::read() const
{
    using namespace std::chrono;
    return {steady_now(), floor<milliseconds>(system_clock::now())};
}

time_point steady_now() noexcept
{
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(steady));
}

} // namespace papayafall
