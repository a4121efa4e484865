#include "papayafall/cli/load/load_profile.hpp"

#include <cmath>
#include <numbers>

namespace papayafall {

namespace {

constexpr double burst_period_seconds = 5;
constexpr double burst_length_seconds = 1;
constexpr double wave_period_seconds = 10;

class calm_profile : public load_profile {
  public:
    double rate_factor(double /*seconds*/) const override { return 1; }
};

class step_profile : public load_profile {
  public:
    explicit step_profile(double length_seconds) : third_of_run_s_(length_seconds / 3) {}

    double rate_factor(double seconds) const override
    {
        return seconds >= third_of_run_s_ && seconds < 2 * third_of_run_s_ ? crest_to_base_ratio
                                                                           : 1;
    }

  private:
    double third_of_run_s_;
};

class burst_profile : public load_profile {
  public:
    double rate_factor(double seconds) const override
    {
        const double seconds_into_period = std::fmod(seconds, burst_period_seconds);
        return seconds_into_period >= burst_period_seconds - burst_length_seconds
                   ? crest_to_base_ratio
                   : 1;
    }
};

class wave_profile : public load_profile {
  public:
    double rate_factor(double seconds) const override
    {
        const double angle = 2 * std::numbers::pi * seconds / wave_period_seconds;
        return 1 + (crest_to_base_ratio - 1) * (1 - std::cos(angle)) / 2;
    }
};

} // namespace

std::unique_ptr<load_profile> make_load_profile(load_profile_kind kind, double length_seconds)
{
    switch (kind) {
    case load_profile_kind::step:
        return std::make_unique<step_profile>(length_seconds);
    case load_profile_kind::burst:
        return std::make_unique<burst_profile>();
    case load_profile_kind::wave:
        return std::make_unique<wave_profile>();
    case load_profile_kind::calm:
        break;
    }
    return std::make_unique<calm_profile>();
}

} // namespace papayafall
