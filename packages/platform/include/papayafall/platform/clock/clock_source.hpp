#pragma once

#include "papayafall/core/values/clock_reading.hpp"

namespace papayafall {

/// Source of the current time. `read` may be called from any thread.
class clock_source {
  public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;

    virtual clock_reading read() const = 0;
};

/// Reads the clocks of the operating system: `std::chrono::steady_clock` and `system_clock`.
class system_clock_source : public clock_source {
  public:
    clock_reading read() const override;
};

/// Current time of `std::chrono::steady_clock`, for threads that have no `clock_source`.
time_point steady_now() noexcept;

/// Current time of CLOCK_BOOTTIME, which keeps running while the machine is suspended. Compare it
/// only with other values of `boot_now`.
time_point boot_now() noexcept;

} // namespace papayafall
