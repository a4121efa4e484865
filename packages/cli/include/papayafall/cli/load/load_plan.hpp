#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// How the offered rate changes over a run; all but `calm` swing by a factor of four.
enum class load_profile_kind : std::uint8_t {
    calm,
    step,  ///< the middle third of the run is the crest
    burst, ///< one second of each five is the crest
    wave,  ///< a sine wave with a period of ten seconds
};

/// How requests are spread over the entry hosts.
enum class host_choice : std::uint8_t { round_robin, random };

/// What a load run offers; the same plan gives the same requests at the same instants.
struct load_plan {
    std::vector<endpoint> hosts;
    std::vector<service_name> services{service_name("quote")};
    /// Service of the requests with a long task; empty: any of `services`.
    service_name long_service;
    team_name team;
    host_choice choice = host_choice::round_robin;
    load_profile_kind profile = load_profile_kind::wave;
    double base_rate_per_s = 100; ///< requests a second outside the crest
    std::chrono::milliseconds run_length{30'000};
    std::chrono::milliseconds base_time_limit{1000}; ///< beside twice the run time of the request
    double time_scale = 1;                           ///< multiplies run times and time limits
    bool short_tasks_only = false; ///< gives tasks that would be long a short run time
    double job_share = 0.1;
    std::uint32_t max_job_tasks = 20;
    double keyed_share = 0.3;
    double resubmitted_share = 0.05; ///< sent again to another host with the same key
    double cancelled_share = 0.02;
    std::uint64_t seed = 1;
    std::size_t thread_count = 2;
    std::string run_name; ///< begins the ids of all tasks

    auto operator<=>(const load_plan&) const = default;
};

} // namespace papayafall
