#pragma once

#include "papayafall/core/jobs/board/job_board.hpp"
#include "papayafall/core/jobs/policies/admission.hpp"
#include "papayafall/core/jobs/policies/dispatcher_selection.hpp"
#include "papayafall/core/jobs/policies/job_cost.hpp"
#include "papayafall/core/jobs/policies/placement_policy.hpp"
#include "papayafall/core/jobs/policies/worker_ejection.hpp"

#include <memory>

namespace papayafall::jobs {

/// Interchangeable policies of the job dispatcher.
struct job_policies {
    std::shared_ptr<const placement_policy> placement;
    std::shared_ptr<const job_admission_policy> admission;
    std::shared_ptr<const job_cost_policy> cost;
    std::shared_ptr<const dispatcher_selection_policy> selection;
    std::shared_ptr<const worker_ejection_policy> ejection;
};

/// Returns the policies that papayafall uses in production.
job_policies standard_job_policies();

/// Builds an engine with all controllers of the job dispatcher, in the order in which they run.
std::unique_ptr<job_engine> make_job_engine(const dispatcher_identity& self,
                                            const job_parameters& parameters,
                                            const job_policies& policies);

} // namespace papayafall::jobs
