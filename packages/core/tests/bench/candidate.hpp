#pragma once

#include "papayafall/core/engine/standard_engine.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayafall::bench {

/// A set of policies to compare with others.
struct policy_candidate {
    std::string name;
    policy_set policies;
    /// Whether targets queue tasks for which they have no free slot instead of refusing them.
    bool targets_queue = false;
};

/// Returns a candidate of baseline policies with the given target selector.
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

/// Returns the baselines, the standard policies with one of them replaced by its baseline, and the
/// standard policies ("main").
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
