#pragma once

#include "papayafall/core/jobs/values/job_identifiers.hpp"
#include "papayafall/core/values/time.hpp"
#include "papayafall/core/values/value.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall::jobs {

/// Settings of a queue to which callers submit jobs.
struct queue_definition {
    queue_name name;
    std::string hostname;           ///< host name that requests have to carry
    std::string path_prefix;        ///< prefix that request paths have to start with
    service_name service;           ///< service whose workers run the tasks
    std::uint32_t priority = 0;     ///< 0 is the highest
    std::uint32_t max_attempts = 1; ///< failed runs of one task after which a job fails
    /// Time objective of a job: length of its critical path times this factor, plus the offset.
    double objective_factor = 1;
    duration objective_offset{};
    duration timeout{};

    auto operator<=>(const queue_definition&) const = default;
};

/// A group of workers that run the tasks of one or more queues.
struct service_definition {
    service_name name;
    bool enforces_capacity = true; ///< its workers reject runs that exceed their free capacity

    auto operator<=>(const service_definition&) const = default;
};

struct queue_configuration_fields {
    std::uint64_t version = 0; ///< 0: no configuration has been received
    std::vector<queue_definition> queues;
    std::vector<service_definition> services;

    auto operator<=>(const queue_configuration_fields&) const = default;

    /// Returns the queue of `hostname` with the longest path prefix that matches `path`, or
    /// nullptr.
    ///
    /// Complexity: linear in the number of queues.
    const queue_definition* match(std::string_view hostname, std::string_view path) const;

    /// Returns the queue with the given name, or nullptr.
    const queue_definition* find(const queue_name& name) const;
};

/// The part of the operators' configuration that the dispatcher uses.
using queue_configuration = value<queue_configuration_fields>;

} // namespace papayafall::jobs
