#pragma once

#include "papayafall/cli/load/load_plan.hpp"
#include "papayafall/core/values/request.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Part of a run by the offered rate.
enum class load_phase : std::uint8_t { calm, crest };

/// Class of a request by its longest task.
enum class run_time_class : std::uint8_t { short_run, long_run };

/// One task of a planned request.
struct planned_task {
    std::string id;
    std::chrono::milliseconds run_time{};
    /// Run time that the caller declares; far off.
    std::chrono::milliseconds declared_run_time{};

    auto operator<=>(const planned_task&) const = default;
};

/// Where and when something is sent, counted from the start of the run.
struct planned_send {
    duration offset{};
    std::size_t host_index = 0;

    auto operator<=>(const planned_send&) const = default;
};

struct planned_request_fields {
    std::uint64_t number = 0;
    planned_send first_send;
    std::optional<planned_send> resubmission; ///< the same key, to another host
    std::optional<planned_send> cancellation; ///< of the same key
    service_name service;
    urgency_level urgency = urgency_level::normal;
    load_phase phase = load_phase::calm;
    run_time_class run_class = run_time_class::short_run;
    bool job = false;
    bool keyed = false;
    std::vector<planned_task> tasks;
    std::chrono::milliseconds longest_run_time{};
    std::chrono::milliseconds time_limit{};

    auto operator<=>(const planned_request_fields&) const = default;
};

/// One request of a load run.
using planned_request = value<planned_request_fields>;

/// Makes all requests of a run in the order of their arrival.
/// Complexity: linear in the number of requests.
std::vector<planned_request> plan_requests(const load_plan& plan);

} // namespace papayafall
