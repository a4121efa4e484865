#include "papayafall/core/jobs/engine/job_engine.hpp"

#include "papayafall/core/jobs/controllers/cancellation_controller.hpp"
#include "papayafall/core/jobs/controllers/cell_controller.hpp"
#include "papayafall/core/jobs/controllers/configuration_controller.hpp"
#include "papayafall/core/jobs/controllers/crash_controller.hpp"
#include "papayafall/core/jobs/controllers/directory_controller.hpp"
#include "papayafall/core/jobs/controllers/dispatch_controller.hpp"
#include "papayafall/core/jobs/controllers/evacuation_controller.hpp"
#include "papayafall/core/jobs/controllers/health_controller.hpp"
#include "papayafall/core/jobs/controllers/intake_controller.hpp"
#include "papayafall/core/jobs/controllers/lifecycle_controller.hpp"
#include "papayafall/core/jobs/controllers/peer_controller.hpp"
#include "papayafall/core/jobs/controllers/place_controller.hpp"
#include "papayafall/core/jobs/controllers/session_controller.hpp"
#include "papayafall/core/jobs/controllers/speed_controller.hpp"
#include "papayafall/core/jobs/policies/least_cost_admission.hpp"
#include "papayafall/core/jobs/policies/slack_aware_placement.hpp"

#include <utility>
#include <vector>

namespace papayafall::jobs {

job_policies standard_job_policies()
{
    return {
        .placement = std::make_shared<slack_aware_placement>(),
        .admission = std::make_shared<least_cost_admission>(),
        .cost = std::make_shared<priority_weighted_work>(),
        .selection = std::make_shared<shortest_wait>(),
        .ejection = std::make_shared<eject_after_failures>(),
    };
}

std::unique_ptr<job_engine> make_job_engine(const dispatcher_identity& self,
                                            const job_parameters& parameters,
                                            const job_policies& policies)
{
    auto board = std::make_unique<job_board>(self, parameters);
    std::vector<std::unique_ptr<job_controller>> controllers;
    controllers.push_back(std::make_unique<job_configuration_controller>(*board));
    controllers.push_back(std::make_unique<evacuation_controller>(*board));
    controllers.push_back(std::make_unique<directory_controller>(*board));
    controllers.push_back(std::make_unique<job_lifecycle_controller>(*board));
    controllers.push_back(std::make_unique<peer_controller>(*board));
    controllers.push_back(std::make_unique<cell_controller>(*board));
    controllers.push_back(std::make_unique<crash_controller>(*board));
    controllers.push_back(std::make_unique<cancellation_controller>(*board));
    controllers.push_back(std::make_unique<health_controller>(*board, policies.ejection));
    controllers.push_back(std::make_unique<speed_controller>(*board));
    controllers.push_back(
        std::make_unique<intake_controller>(*board, policies.selection, policies.admission));
    // Tasks are started before leases are extended, so that a report call covers the new runs.
    controllers.push_back(std::make_unique<dispatch_controller>(*board, policies.placement,
                                                                policies.admission, policies.cost));
    controllers.push_back(std::make_unique<session_controller>(*board));
    controllers.push_back(std::make_unique<place_controller>(*board));
    return std::make_unique<job_engine>(std::move(board), std::move(controllers));
}

} // namespace papayafall::jobs
