#pragma once

#include "papayafall/core/values/host.hpp"
#include "papayafall/core/values/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace papayafall {

/// How the offered rate changes over a run. All profiles but `calm` vary between the base rate and
/// four times the base rate (the crest).
enum class load_profile_kind : std::uint8_t {
    calm,  ///< constant at the base rate
    step,  ///< crest in the middle third of the run
    burst, ///< crest in the last second of every five
    wave,  ///< sine wave with a period of ten seconds
};

/// How the entry host of a request is chosen.
enum class host_choice : std::uint8_t { round_robin, random };

/// Parameters of a load run. Equal plans give equal requests at equal offsets from the start.
struct load_plan {
    std::vector<endpoint> hosts;
    std::vector<service_name> services{service_name("quote")};
    /// Service of the requests with a long task; if empty, one of `services`.
    service_name long_service;
    team_name team;
    host_choice choice = host_choice::round_robin;
    load_profile_kind profile = load_profile_kind::wave;
    double base_rate_per_s = 100; ///< requests per second outside the crest
    std::chrono::milliseconds run_length{30'000};
    /// Added to twice the longest run time of a request to give its time limit.
    std::chrono::milliseconds base_time_limit{1000};
    double time_scale = 1;         ///< multiplies run times and time limits
    bool short_tasks_only = false; ///< draws only short run times
    double job_share = 0.1;        ///< share of the requests that are jobs
    std::uint32_t max_job_tasks = 20;
    double keyed_share = 0.3;        ///< share of the requests with an idempotency key
    double resubmitted_share = 0.05; ///< sent a second time to another host with the same key
    double cancelled_share = 0.02;
    std::uint64_t seed = 1;
    std::size_t thread_count = 2;
    std::string run_name; ///< prefix of the ids of all tasks

    auto operator<=>(const load_plan&) const = default;
};

} // namespace papayafall
