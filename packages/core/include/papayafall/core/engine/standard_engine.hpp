#pragma once

#include "papayafall/core/controllers/scheduling_controller.hpp"
#include "papayafall/core/engine/engine.hpp"
#include "papayafall/core/policies/admission_policy.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"
#include "papayafall/core/state/core_parameters.hpp"
#include "papayafall/core/state/self_state.hpp"

#include <memory>

namespace papayafall {

/// Every decision of the core that can be exchanged.
struct policy_set {
    std::shared_ptr<const admission_policy> admission;
    std::shared_ptr<const ejection_policy> ejection;
    scheduling_policies scheduling;
};

/// The policies that papayafall runs with.
policy_set standard_policies();

/// Builds an engine with all controllers in their order.
/// @param self what the process is; its incarnation must be higher than that of any earlier run
///             of the same host
std::unique_ptr<engine> make_engine(const self_state& self, const core_parameters& parameters,
                                    const policy_set& policies);

} // namespace papayafall
