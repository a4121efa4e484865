#pragma once

#include "papayafall/core/values/clock_reading.hpp"

namespace papayafall {

/// Where a process reads its clocks. `read` may be called from any thread.
class clock_source {
  public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;

    virtual clock_reading read() const = 0;
};

/// The clocks of the operating system: `std::chrono::steady_clock` and `system_clock`.
class system_clock_source : public clock_source {
  public:
    clock_reading read() const override;
};

/// The instant of `std::chrono::steady_clock`, for threads that have no `clock_source`.
time_point steady_now() noexcept;

/// The instant of the clock since boot, which goes on while the machine is suspended. Comparable
/// with its own instants only.
time_point boot_now() noexcept;

} // namespace papayafall
