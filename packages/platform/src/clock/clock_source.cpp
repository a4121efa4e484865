#include "papayafall/platform/clock/clock_source.hpp"

#include <chrono>
#include <ctime>

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

time_point boot_now() noexcept
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(at.tv_sec) +
                                                           std::chrono::nanoseconds(at.tv_nsec)));
}

} // namespace papayafall
