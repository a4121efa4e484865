#pragma once

#include "papayafall/cli/load/load_plan.hpp"

#include <memory>

namespace papayafall {

/// Offered rate over the time of a run.
class load_profile {
  public:
    /// Rate at the crest, as a multiple of the lowest rate.
    static constexpr double crest_to_base_ratio = 4;

    load_profile() = default;
    load_profile(const load_profile&) = delete;
    load_profile& operator=(const load_profile&) = delete;
    virtual ~load_profile() = default;

    /// Rate at `seconds` after the start, as a multiple of the lowest rate: 1 to `swing`.
    virtual double rate_factor(double seconds) const = 0;
};

/// @param length_seconds length of the run
std::unique_ptr<load_profile> make_load_profile(load_profile_kind kind, double length_seconds);

} // namespace papayafall
