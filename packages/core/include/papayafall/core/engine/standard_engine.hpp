#pragma once

#include "papayafall/core/controllers/scheduling_controller.hpp"
#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/policies/admission_policy.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"
#include "papayafall/core/state/core_parameters.hpp"
#include "papayafall/core/state/self_state.hpp"

#include <memory>

namespace papayafall {

/// All replaceable policies of the core.
struct policy_set {
    std::shared_ptr<const admission_policy> admission;
    std::shared_ptr<const ejection_policy> ejection;
    scheduling_policies scheduling;
};

/// Returns the policies that papayafall uses by default.
policy_set standard_policies();

/// Creates an engine with all controllers, in the order that they depend on.
/// @param self       identity of the process; its incarnation must be higher than that of any
///                   earlier process of the same host
/// @param parameters periods, limits and clock bounds
/// @param policies   policies that the controllers consult
std::unique_ptr<engine> make_engine(const self_state& self, const core_parameters& parameters,
                                    const policy_set& policies);

} // namespace papayafall
