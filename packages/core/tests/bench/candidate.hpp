#pragma once

#include "papayafall/core/engine/standard_engine.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayafall::bench {

/// A choice of policies to be compared with others.
struct policy_candidate {
    std::string name;
    policy_set policies;
    /// Whether targets queue what they cannot run at once, in place of refusing it.
    bool targets_queue = false;
};

inline policy_candidate baseline(std::string name, std::shared_ptr<const target_selector> targets,
                                 bool targets_queue = false)
{
    return {std::move(name),
            policy_set{.admission = std::make_shared<admit_all>(),
                       .ejection = std::make_shared<no_ejection>(),
                       .scheduling =
                           {
                               .order = std::make_shared<first_come_first_served_order>(),
                               .slots = std::make_shared<unrestricted_slots>(),
                               .targets = std::move(targets),
                               .run_times = std::make_shared<declared_run_time>(),
                               .overflow = std::make_shared<no_overflow>(),
                               .retries = std::make_shared<no_retry>(),
                           }},
            targets_queue};
}

/// The baselines, the main policies, and these with one of them replaced by its baseline.
inline std::vector<policy_candidate> policy_candidates()
{
    policy_candidate any_slot{"main, any slot", standard_policies()};
    any_slot.policies.scheduling.slots = std::make_shared<unrestricted_slots>();
    policy_candidate admits_all{"main, admits all", standard_policies()};
    admits_all.policies.admission = std::make_shared<admit_all>();
    policy_candidate ejects_none{"main, no ejection", standard_policies()};
    ejects_none.policies.ejection = std::make_shared<no_ejection>();
    return {baseline("fcfs, random", std::make_shared<random_target>()),
            baseline("fcfs, round robin", std::make_shared<round_robin_target>()),
            baseline("queue at target", std::make_shared<least_in_flight_target>(), true),
            any_slot,
            admits_all,
            ejects_none,
            {"main", standard_policies()}};
}

} // namespace papayafall::bench
