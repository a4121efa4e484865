#pragma once

#include "papayafall/cli/load/load_sample.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayafall {

/// Mean, maximum and exact quantiles of a set of times.
struct load_quantiles {
    std::uint64_t count = 0;
    duration mean{};
    duration p50{};
    duration p99{};
    duration p999{};
    duration max{};

    auto operator<=>(const load_quantiles&) const = default;
};

/// Computes the quantiles of `times` by nearest rank; all are zero if `times` is empty.
/// Complexity: O(n log n) in the size of `times`.
load_quantiles make_quantiles(std::vector<duration> times);

/// Statistics of a group of sends: all, or those of one run time class, urgency or phase.
struct load_group {
    std::string name;
    std::uint64_t count = 0;
    std::map<load_outcome, std::uint64_t> outcomes;
    duration offered_work{};       ///< sum of the run times of all tasks
    duration useful_work{};        ///< the same for the requests that were answered in time
    load_quantiles response_times; ///< of complete answers
    /// Response time beyond the ideal one (the longest run time of a task plus one round trip); of
    /// complete answers.
    load_quantiles excess;
    double response_ratio_p50 = 0; ///< response time divided by the ideal one; of complete answers
    double response_ratio_p99 = 0;
    double response_ratio_p999 = 0;

    auto operator<=>(const load_group&) const = default;
};

/// Statistics of a load run.
struct load_summary {
    duration round_trip{};
    std::uint64_t tasks = 0;
    std::vector<load_group> groups; ///< of first submissions; the first group contains all of them
    load_group resubmissions;
    load_group cancellations;
    load_quantiles send_lag; ///< delay of the sends caused by the load generator itself

    auto operator<=>(const load_summary&) const = default;
};

/// Computes the statistics of a load run.
/// Complexity: O(n log n) in the number of samples, for each group.
load_summary summarise(const std::vector<load_sample>& samples, duration round_trip);

/// Stable lower-case name of `outcome`, as used in the JSON output.
std::string_view to_string(load_outcome outcome) noexcept;

/// Encodes the summary as JSON with times in milliseconds.
std::string encode_summary(const load_summary& summary);

/// Formats the summary as a table with columns of fixed width.
std::string format_summary(const load_summary& summary);

} // namespace papayafall
