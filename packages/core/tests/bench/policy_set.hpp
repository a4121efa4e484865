#pragma once

#include "papayafall/core/controllers/scheduling_controller.hpp"
#include "papayafall/core/policies/admission_policy.hpp"
#include "papayafall/core/policies/ejection_policy.hpp"

#include <memory>
#include <string>
#include <vector>

namespace papayafall::bench {

/// A choice of policies to be compared with others.
struct policy_set {
    std::string name;
    scheduling_policies scheduling;
    std::shared_ptr<const admission_policy> admission;
    std::shared_ptr<const ejection_policy> ejection;
    /// Whether targets queue what they cannot run at once, in place of refusing it.
    bool targets_queue = false;
};

inline policy_set baseline(std::string name, std::shared_ptr<const target_selector> targets,
                           bool targets_queue = false)
{
    return {std::move(name),
            scheduling_policies{.order = std::make_shared<first_come_first_served_order>(),
                                .slots = std::make_shared<unrestricted_slots>(),
                                .targets = std::move(targets),
                                .run_times = std::make_shared<declared_run_time>(),
                                .overflow = std::make_shared<no_overflow>(),
                                .retries = std::make_shared<no_retry>()},
            std::make_shared<admit_all>(), std::make_shared<no_ejection>(), targets_queue};
}

inline policy_set main_set()
{
    const auto run_times = std::make_shared<observed_run_time>();
    return {"main",
            scheduling_policies{.order = std::make_shared<earliest_deadline_order>(),
                                .slots = std::make_shared<long_work_share>(),
                                .targets = std::make_shared<free_slot_target>(),
                                .run_times = run_times,
                                .overflow = std::make_shared<free_slots_overflow>(),
                                .retries = std::make_shared<budgeted_retry>()},
            std::make_shared<predictive_admission>(run_times),
            std::make_shared<zone_outlier_ejection>(), false};
}

/// The baselines, the main policies, and these with one of them replaced by its baseline.
inline std::vector<policy_set> all_sets()
{
    policy_set any_slot = main_set();
    any_slot.name = "main, any slot";
    any_slot.scheduling.slots = std::make_shared<unrestricted_slots>();
    policy_set admits_all = main_set();
    admits_all.name = "main, admits all";
    admits_all.admission = std::make_shared<admit_all>();
    policy_set ejects_none = main_set();
    ejects_none.name = "main, no ejection";
    ejects_none.ejection = std::make_shared<no_ejection>();
    return {baseline("fcfs, random", std::make_shared<random_target>()),
            baseline("fcfs, round robin", std::make_shared<round_robin_target>()),
            baseline("queue at target", std::make_shared<least_in_flight_queueing>(), true),
            any_slot,
            admits_all,
            ejects_none,
            main_set()};
}

} // namespace papayafall::bench
