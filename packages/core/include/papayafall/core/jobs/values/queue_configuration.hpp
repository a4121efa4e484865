#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall::jobs {

/// A queue that callers submit to.
struct queue_definition {
    queue_name name;
    std::string hostname;    ///< of the request
    std::string path_prefix; ///< of the request's path
    service_name service;    ///< whose workers run the tasks
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double objective_factor = 1; ///< objective over the critical path
    duration objective_offset{}; ///< added to the stretched critical path
    duration timeout{};

    auto operator<=>(const queue_definition&) const = default;
};

/// Workers that run the tasks of some queues.
struct service_definition {
    service_name name;
    bool enforces_capacity = true; ///< its workers refuse what does not fit

    auto operator<=>(const service_definition&) const = default;
};

struct queue_configuration_fields {
    std::uint64_t version = 0; ///< 0: none is known
    std::vector<queue_definition> queues;
    std::vector<service_definition> services;

    auto operator<=>(const queue_configuration_fields&) const = default;

    /// Queue of `hostname` with the longest prefix of `path`, or nullptr.
    /// Complexity: linear in the number of queues.
    const queue_definition* match(std::string_view hostname, std::string_view path) const;

    /// Queue of that name, or nullptr.
    const queue_definition* find(const queue_name& name) const;
};

/// What operators configured, as far as the dispatcher uses it.
using queue_configuration = value<queue_configuration_fields>;

} // namespace papayafall::jobs
