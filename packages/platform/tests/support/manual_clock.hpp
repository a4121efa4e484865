#pragma once

#include "papayafall/platform/clock/clock_source.hpp"

namespace papayafall {

/// Clock that advances only when a test calls `advance`.
class manual_clock : public clock_source {
  public:
    clock_reading read() const override { return now_; }

    void advance(std::chrono::milliseconds step) { now_ = {now_.steady + step, now_.wall + step}; }

  private:
    clock_reading now_{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(1))};
};

} // namespace papayafall
