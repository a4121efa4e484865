#include "papayafall/core/engine/standard_engine.hpp"

#include "papayafall/core/controllers/configuration_controller.hpp"
#include "papayafall/core/controllers/estimate_controller.hpp"
#include "papayafall/core/controllers/forwarding_controller.hpp"
#include "papayafall/core/controllers/lifecycle_controller.hpp"
#include "papayafall/core/controllers/limit_controller.hpp"
#include "papayafall/core/controllers/membership_controller.hpp"
#include "papayafall/core/controllers/seat_controller.hpp"
#include "papayafall/core/controllers/status_controller.hpp"
#include "papayafall/core/controllers/submission_controller.hpp"
#include "papayafall/core/controllers/target_controller.hpp"
#include "papayafall/core/controllers/ticket_controller.hpp"

#include <utility>

namespace papayafall {

policy_set standard_policies()
{
    const auto run_times = std::make_shared<const observed_run_time>();
    return policy_set{
        .admission = std::make_shared<const predictive_admission>(run_times),
        .ejection = std::make_shared<const zone_outlier_ejection>(),
        .scheduling =
            {
                .order = std::make_shared<const earliest_deadline_order>(),
                .slots = std::make_shared<const long_work_share>(),
                .targets = std::make_shared<const least_loaded_target>(),
                .run_times = run_times,
                .overflow = std::make_shared<const most_free_slots_overflow>(),
                .retries = std::make_shared<const budgeted_retry>(),
            },
    };
}

std::unique_ptr<engine> make_engine(const self_state& self, const core_parameters& parameters,
                                    const policy_set& policies)
{
    auto owned_board = std::make_unique<blackboard>(self, parameters);
    blackboard& board = *owned_board;
    std::vector<std::unique_ptr<controller>> controllers;
    controllers.push_back(std::make_unique<lifecycle_controller>(board));
    controllers.push_back(std::make_unique<membership_controller>(board));
    controllers.push_back(std::make_unique<configuration_controller>(board));
    controllers.push_back(std::make_unique<seat_controller>(board));
    controllers.push_back(std::make_unique<target_controller>(board, policies.ejection));
    controllers.push_back(std::make_unique<estimate_controller>(board));
    controllers.push_back(std::make_unique<limit_controller>(board, policies.scheduling.run_times));
    controllers.push_back(std::make_unique<ticket_controller>(board));
    controllers.push_back(std::make_unique<forwarding_controller>(board));
    controllers.push_back(std::make_unique<submission_controller>(board, policies.admission));
    controllers.push_back(std::make_unique<scheduling_controller>(board, policies.scheduling));
    controllers.push_back(std::make_unique<status_controller>(board));
    return std::make_unique<engine>(std::move(owned_board), std::move(controllers));
}

} // namespace papayafall
