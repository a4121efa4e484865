#pragma once

#include "papayafall/cli/load/load_plan.hpp"
#include "papayafall/core/values/request.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafall {

/// Phase of a run by the offered rate at the instant of a request.
enum class load_phase : std::uint8_t { calm, crest };

/// Class of a request by the run time of its longest task.
enum class run_time_class : std::uint8_t { short_run, long_run };

/// One task of a planned request.
struct planned_task {
    std::string id;
    std::chrono::milliseconds run_time{};
    /// Run time that the caller declares; deliberately inaccurate.
    std::chrono::milliseconds declared_run_time{};

    auto operator<=>(const planned_task&) const = default;
};

/// When and to which entry host something is sent.
struct planned_send {
    duration offset{};          ///< from the start of the run
    std::size_t host_index = 0; ///< index into `load_plan::hosts`

    auto operator<=>(const planned_send&) const = default;
};

/// Members of `planned_request`.
struct planned_request_fields {
    std::uint64_t number = 0;
    planned_send first_send;
    std::optional<planned_send> resubmission; ///< with the same key, to another host
    std::optional<planned_send> cancellation; ///< of the request with the same key
    service_name service;
    urgency_level urgency = urgency_level::normal;
    load_phase phase = load_phase::calm;
    run_time_class run_class = run_time_class::short_run;
    bool is_job = false;
    bool keyed = false;
    std::vector<planned_task> tasks;
    std::chrono::milliseconds longest_run_time{};
    std::chrono::milliseconds time_limit{};

    auto operator<=>(const planned_request_fields&) const = default;
};

/// A single request or a job of a load run.
using planned_request = value<planned_request_fields>;

/// Generates all requests of a run in the order of their first send.
/// Complexity: linear in the number of requests.
std::vector<planned_request> plan_requests(const load_plan& plan);

} // namespace papayafall
