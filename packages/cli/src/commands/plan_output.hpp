#pragma once

#include "papayafall/platform/operators/plan.hpp"

#include <nlohmann/json.hpp>

#include <ostream>

namespace papayafall::detail {

/// Encodes a plan as JSON.
nlohmann::json encode_plan(const plan& proposed);

/// Prints a plan as text, with the command that confirms it.
void print_plan(std::ostream& out, const plan& proposed);

/// Prints one line for each difference.
void print_differences(std::ostream& out, const std::vector<configuration_difference>& differences);

} // namespace papayafall::detail
