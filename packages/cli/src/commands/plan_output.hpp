#pragma once

#include "papayafall/platform/operators/plan.hpp"

#include <nlohmann/json.hpp>

#include <ostream>

namespace papayafall::detail {

nlohmann::json encode_plan(const plan& proposed);

void print_plan(std::ostream& out, const plan& proposed);

void print_differences(std::ostream& out, const std::vector<configuration_difference>& differences);

} // namespace papayafall::detail
