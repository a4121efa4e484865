#pragma once

#include "papayafall/cli/load/load_plan.hpp"

#include <memory>

namespace papayafall {

/// Offered rate as a function of the time since the start of a run.
class load_profile {
  public:
    /// Ratio of the rate at the crest to the base rate.
    static constexpr double crest_to_base_ratio = 4;

    load_profile() = default;
    load_profile(const load_profile&) = delete;
    load_profile& operator=(const load_profile&) = delete;
    virtual ~load_profile() = default;

    /// Ratio of the rate at `seconds` after the start to the base rate, from 1 to
    /// `crest_to_base_ratio`.
    virtual double rate_factor(double seconds) const = 0;
};

/// Creates the profile of the given kind.
/// @param length_seconds duration of the run
std::unique_ptr<load_profile> make_load_profile(load_profile_kind kind, double length_seconds);

} // namespace papayafall
